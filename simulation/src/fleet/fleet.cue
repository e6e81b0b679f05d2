// What may stand in a plan of a fleet: real processes of the program on loopback, broken between.

#Kind: "kill" | "restart" | "upgrade" | "power" | "stop" | "long-stop" | "cut" | "isolate" | "split" | "delay" |
	"reorder" | "double" | "drop" | "full-disk" | "last-write" | "older-state" | "lost-state" | "node-stall" |
	"node-cut" | "discovery-down" | "lead-kill" | "lead-stop" | "lead-disk" | "lead-deaf" | "remove" |
	"all-ready" | "quorum"

#FleetPlan: {
	name: string & =~"^[a-z0-9][a-z0-9-]{0,63}$"
	routers: int & >=1 & <=15 | *7
	voters: int & >=1 & <=9 | *5
	nodes: int & >=1 & <=64 | *6
	// Lookups a second of all clients together, and how many may wait at a time.
	rate: number & >=1 & <=10000 | *100
	clients: int & >=1 & <=512 | *96
	seconds: int & >=1 & <=3600 | *20
	lease: duration & >=200ms & <=1min | *1s
	renew: duration & >=20ms & <=20s | *250ms
	// Between two changes, and between two faults; the times themselves are drawn.
	change_every: duration & >=50ms & <=10min | *1s
	fault_every: duration & >=50ms & <=10min | *700ms
	// What may go wrong; each as often as the others, or as it stands here more than once.
	faults: [...#Kind] | *["kill", "kill", "restart", "stop", "long-stop", "cut", "isolate", "split", "delay", "reorder",
		"double", "drop", "full-disk", "last-write", "older-state", "lost-state", "node-stall", "node-cut",
		"discovery-down", "upgrade", "power", "lead-kill", "lead-stop", "lead-disk", "lead-deaf"]
	// The same routers without a fleet: each by its own settings, as a measure of what the fleet costs.
	off: bool | *false
	// Sets of shards, each held by its own machines; crews that take every machine out and back once.
	sets: int & >=1 & <=64 | *1
	works: bool | *false
	// Machines come back late, broken, cold, at another address, or not by themselves.
	fates: bool | *false
	work: duration & >=10ms & <=10min | *300ms
	order: "routers" | "one-by-one" | "at-once" | "nobody" | *"routers"
	// A router whose own platform allows two calls for a part, where the others' allows four.
	stricter?: int & >=0 & <=14
}
