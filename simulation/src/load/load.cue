// What may stand in a load: the real program on loopback, among stand-ins.

#Fault: {
	// stall: reads and answers nothing; reset: breaks its connections; cut: half an answer, then the end; slow-reader:
	// some bytes a millisecond; spoilt: bytes that are no answer.
	kind: "stall" | "reset" | "cut" | "slow-reader" | "spoilt"
	at: duration & >=0s & <=10min
	for: duration & >=0s & <=10min | *1s
	nodes: int & >=1 & <=1000 | *1
}

#Event: {
	// kill: at once, and started anew; restart: told to stop, and started anew; upgrade: a new process takes over.
	kind: "kill" | "restart" | "upgrade"
	at: duration & >=0s & <=10min
	router: int & >=0 & <=63 | *0
}

#Load: {
	name: string & =~"^[a-z0-9][a-z0-9-]{0,63}$"
	// Lookups a second of all clients together; 0: each asks again at once, to see how much there is.
	rate: number & >=0 & <=100000
	clients: int & >=1 & <=256 | *16
	seconds: int & >=1 & <=600 | *10
	settle: int & >=0 & <=60 | *1
	parts: int & >=1 & <=1000 | *4
	routers: int & >=1 & <=16 | *1
	nodes: int & >=1 & <=64 | *4
	// How long a stand-in takes for a part.
	takes: duration & >=0s & <=10s | *0s
	sockets: int & >=64 & <=65536 | *1024
	memory_mb: int & >=8 & <=8192 | *192
	faults: [...#Fault] | *[]
	events: [...#Event] | *[]
}
