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

#Settings: {
	log: #Log
	control?: #Control
	identity?: #Identity
	tls?: #Tls
}
