// What may stand in a settings file of the router. Without a file nothing of this is on.

#Log: {
	form: "text" | "json" | *"text"
	// As RUST_LOG, which goes before it.
	level: string | *"info"
}

#Tls: {
	listen: string & =~":[0-9]+$"
	// PEM: the chain, the first certificate the router's own; and its key.
	certificate: string
	key: string
	// Certificates of clients: whose are taken, and lists of revoked ones (PEM), in the order of the authorities.
	authorities?: string
	lists: [...string] | *[]
	// Without a certificate no client is let in, a token or not.
	required: bool | *false
	// How often the files are looked at again.
	every: duration & >=100ms & <=1h | *5s
}

#Control: {
	// A Unix socket, for its owner alone: status, upgrade, drain.
	socket: string
	// Whether the program may be upgraded by it: a second process runs for a while.
	upgrade: bool | *false
	// The number of the process that serves, written at each start and hand-over.
	pid_file?: string
	// After an upgrade the first process stays as parent of the one that serves, passes signals on and ends with it: for
	// supervisors that keep their child in the foreground.
	stays: bool | *false
	hello: duration & >=100ms & <=5min | *10s
	step: duration & >=50ms & <=1min | *3s
	ready: duration & >=100ms & <=5min | *10s
	silence: duration & >=100ms & <=1min | *3s
}

// The routers of one fleet: the same on each of them.
#Fleet: {
	// Two fleets never mix.
	name: string & =~"."
	// The routers at the founding, by the names that their configurations give them. Later ones are added by command.
	members: {[string]: #Member}
	// Where this router listens, if others reach it at another address than it has (a relay, a translated address).
	listen?: string & =~":[0-9]+$"
	// This router's own folder; {name} stands for its name. It has to last: what is answered for is kept there.
	folder: string | *"fleet/{name}"
	// How long a router may admit on its own, from when it asked; and how often it asks.
	lease: duration & >=200ms & <=1min | *2s
	renew: duration & >=20ms & <=20s | *500ms
	// How far clocks may run fast or slow, in millionths. Beyond it nothing is promised.
	drift_ppm: int & >=0 & <=200000 | *10000
	// How long queries wait, at most, while a change takes effect, before they are rejected. Without it they wait as long as
	// their own deadlines allow, while a leader with a majority answers.
	hold?: duration & >=0s & <=10s
	// How long a change that takes hold waits for all to have stopped.
	patience: duration & >=10ms & <=10s | *150ms
	// What a router does without a lease: it refuses new lookups, or it serves on under the last policy that it knows and
	// marks its answers. Then a change may be in force at some routers and not at others.
	without_lease: "refuse" | "serve-and-mark" | *"refuse"
	// Whether a change needs a second person's word (ternpick policy confirm).
	confirm: bool | *false
	// Without a word of the one that leads for so long, and up to as much more by chance, another one is voted for.
	election: duration & >=100ms & <=1min | *500ms
	// Work on machines: off without.
	works?: #Works
}

// What is never given up while machines are out for work.
#Works: {
	// Sound holders of each shard; never fewer than two where there are more, and never the last.
	keep: int & >=1 & <=64 | *2
	// The share of each zone's machines that stays, and the share of all that may be out at a time (one always may).
	zone_share: number & >=0 & <=1 | *0.5
	most_out: number & >=0 & <=1 | *0.2
	// Part calls a second that one machine bears, if known; the measured load, so much more, and so many failures have room.
	per_node?: number & >0
	growth: number & >=0 & <=10 | *0.25
	reserve: int & >=0 & <=64 | *1
	// The longest deadline of any lookup: for so long a router without a lease may still act on what it admitted.
	lingers: duration & >=100ms & <=10min | *10s
	// A machine that was given back and does not bear load within this is kept out.
	back_within: duration & >=1s & <=24h | *10min
	// Nothing more goes out before all has been well for so long; held while more than this share of lookups is late,
	// failed or refused, and on again below half of it.
	calm: duration & >=100ms & <=1h | *10s
	late_over: number & >0 & <=1 | *0.1
}

#Member: {
	// Where the other routers reach it.
	address: string & =~":[0-9]+$"
	zone:    string | *""
	// Whether it votes: three, five or seven do, in different zones.
	vote: bool | *false
}

#Settings: {
	log: #Log
	control?: #Control
	identity?: #Identity
	tls?: #Tls
	fleet?: #Fleet
}
