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

#Settings: {
	log: #Log
	identity?: #Identity
	tls?: #Tls
}
