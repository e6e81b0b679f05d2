// The schema of the router's settings file. Without a settings file, all features configured here are off.

#Log: {
	form: "text" | "json" | *"text"
	// The filter in the syntax of RUST_LOG, which takes precedence.
	level: string | *"info"
}

#Tls: {
	listen: string & =~":[0-9]+$"
	// PEM files: the certificate chain, with the router's own certificate first, and the private key.
	certificate: string
	key: string
	// PEM files: the authorities of client certificates, and revocation lists in the order of the authorities.
	authorities?: string
	lists: [...string] | *[]
	// Whether clients without a certificate are rejected, even if they have a token.
	required: bool | *false
	// The interval at which the files are checked for changes.
	every: duration & >=100ms & <=1h | *5s
}

#Control: {
	// The path of a Unix socket that only its owner may use: status, upgrade, drain.
	socket: string
	// Whether upgrades over the socket are allowed. During an upgrade a second process runs.
	upgrade: bool | *false
	// The file for the id of the serving process, written at each start and each handover.
	pid_file?: string
	// Whether the old process of an upgrade stays as the parent of the new one, forwards signals and ends with it, for
	// supervisors that track the process that they started.
	stays: bool | *false
	hello: duration & >=100ms & <=5min | *10s
	step: duration & >=50ms & <=1min | *3s
	ready: duration & >=100ms & <=5min | *10s
	silence: duration & >=100ms & <=1min | *3s
}

// The fleet. The routers of a fleet have the same settings here.
#Fleet: {
	// The fleet's name. Members of different fleets do not accept each other.
	name: string & =~"."
	// The founding members, by the routers' names in their configurations. Later members are added by command.
	members: {[string]: #Member}
	// The address at which this router listens, if other members reach it at another one (relay, address translation).
	listen?: string & =~":[0-9]+$"
	// This router's folder, with {name} for the router's name. It must be durable: it holds the stored state of this
	// member.
	folder: string | *"fleet/{name}"
	// The duration of a lease, from when the router requested it, and the interval between renewals.
	lease: duration & >=200ms & <=1min | *2s
	renew: duration & >=20ms & <=20s | *500ms
	// The largest rate error of a clock, in parts per million. With a larger one the guarantees do not hold.
	drift_ppm: int & >=0 & <=200000 | *10000
	// The longest time that queries wait while a change takes effect, before they are rejected. Without it they wait as
	// long as their deadlines allow, while a leader with a majority answers.
	hold?: duration & >=0s & <=10s
	// How long a change that takes effect waits until all routers have stopped admitting.
	patience: duration & >=10ms & <=10s | *150ms
	// What a router does without a lease: it rejects new queries, or it keeps serving under the last policy that it
	// knows and marks its responses. In the second case a change may be in force at some routers and not at others.
	without_lease: "refuse" | "serve-and-mark" | *"refuse"
	// Whether a change needs a second operator's confirmation (ternpick policy confirm).
	confirm: bool | *false
	// The election timeout: after this time, plus a random one of up to the same length, without the leader an election
	// starts.
	election: duration & >=100ms & <=1min | *500ms
	// Maintenance of machines; it is off without this record.
	works?: #Works
}

// The limits that are kept while machines are out for maintenance.
#Works: {
	// The healthy replicas of each shard that stay: never fewer than two if there are more, and never none.
	keep: int & >=1 & <=64 | *2
	// The share of each zone's machines that stays, and the share of all machines that may be out (one always may).
	zone_share: number & >=0 & <=1 | *0.5
	most_out: number & >=0 & <=1 | *0.2
	// Shard requests per second that a machine can serve, if known. The machines that stay have room for the measured
	// load, this growth of it, and this number of failed machines.
	per_node?: number & >0
	growth: number & >=0 & <=10 | *0.25
	reserve: int & >=0 & <=64 | *1
	// At least the longest deadline of a query: a router without a lease may still send shard requests for that long.
	lingers: duration & >=100ms & <=10min | *10s
	// A machine that was given back and does not serve load within this time is kept out.
	back_within: duration & >=1s & <=24h | *10min
	// No further machine goes out before the service has been healthy for the time `calm`. No machine goes out while
	// more than the share `late_over` of queries is late, failed or rejected, until the share is below half of it.
	calm: duration & >=100ms & <=1h | *10s
	late_over: number & >0 & <=1 | *0.1
}

#Member: {
	// The address at which the other routers reach it.
	address: string & =~":[0-9]+$"
	zone:    string | *""
	// Whether it is a voter. A fleet should have three, five or seven voters, in different zones.
	vote: bool | *false
}

#Settings: {
	log: #Log
	control?: #Control
	identity?: #Identity
	tls?: #Tls
	fleet?: #Fleet
}
