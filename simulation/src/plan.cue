// What may stand in a plan: worlds, who decides in them, and what is asked of them.

#Share: number & >=0 & <=1

// How long a part takes on a warm, idle core.
#Work: {
	kind: "fixed" | "exponential" | "lognormal" | "pareto" | *"lognormal"
	mean: duration & >=10us & <=1min
	// Deviation over mean, of the lognormal; the tail's exponent is 2.2 for pareto.
	spread: number & >0 & <=10 | *0.5
}

#Index: {
	name: string
	weight: number & >0 & <=1000 | *1
	parts: [...int & >=1 & <=10000] | *[1, 4]
	repeat: "idempotent" | "fingerprinted" | "once-only" | *"idempotent"
	window: duration & >=1ms & <=1h | *1500ms
	work: #Work
	soft: duration & >=1ms & <=1h | *1s
	hard: duration & >=1ms & <=1h | *3s
	gain: number & >0 & <=1000 | *1
	// What is left of the gain after the soft deadline.
	late: #Share | *0.3
	// The least share of a partial answer; 1: whole answers only.
	least: number & >0 & <=1 | *1
	// Hints are off by this factor at most.
	hint: number & >=1 & <=10 | *1.5
}

#Nodes: {
	cells: int & >=1 & <=4096 | *6
	a_cell: int & >=1 & <=64 | *2
	reach: int & >=1 & <=8 | *1
	cores: int & >=1 & <=256 | *4
	// Parts that wait; one more is refused.
	queue: int & >=1 & <=100000 | *256
	cold: number & >0 & <=1 | *0.25
	warm_within: duration & >=0s & <=1h | *20s
	falls_at: number & >=1 & <=1000 | *2
	fall_window: duration & >=10ms & <=1min | *1s
	restarts_in: duration & >=10ms & <=1h | *8s
	// A warm node stops for so long, so often on the mean.
	pause: duration & >=0s & <=1min | *0s
	pause_every: duration & >=1s & <=1h | *1h
	// A key met before saves this share of the work, and so many keys are remembered.
	cache_saves: #Share | *0
	cache_keys: int & >=1 & <=100000 | *1000
	// Work of a new connection, and after how long an unused one is closed.
	dial_work: duration & >=0s & <=1s | *200us
	idle_close: duration & >=1ms & <=1h | *10s
	reports: "answers" | "probes" | "none" | *"answers"
	columns: [..."latency" | "queue" | "rate"] | *["queue"]
	refresh: duration & >=0s & <=1min | *300ms
	// Reports are off by up to this share.
	noise: #Share | *0.1
	cancel: "queued" | "running" | "none" | *"queued"
	// Parts whose time is up before they begin are dropped, or done all the same.
	drops_late: bool | *true
}

#Network: {
	zones: int & >=1 & <=16 | *2
	within: duration & >=1us & <=10s | *300us
	across: duration & >=1us & <=10s | *2ms
	// Messages that are sent again by the system after a while.
	loss: number & >=0 & <=0.9 | *0
	again_after: duration & >=1ms & <=10s | *200ms
	dial_within: duration & >=1ms & <=1min | *250ms
}

#Discovery: {
	lag: duration & >=0s & <=10min | *1s
	// The age of the list that a router starts with.
	known_age: duration & >=0s & <=30d | *0s
}

#Clients: {
	// Lookups a second, of all clients; or as many clients, each asking again after it thought.
	rate: number & >0 & <=1000000
	closed: int & >=0 & <=100000 | *0
	thinks: duration & >=0s & <=1h | *1s
	// The rate swings by this share, in this time.
	wave: #Share | *0
	wave_every: duration & >=1s & <=1d | *60s
	keys: int & >=1 & <=10000000 | *100000
	// Popularity of keys: the exponent of Zipf's law; 0: all alike.
	popular: number & >=0 & <=4 | *1
	tenants: [...number & >0] | *[]
	// Shares that tenants have, lookups a second; none: all is shared.
	quotas: [...number & >0] | *[]
	retries: int & >=0 & <=20 | *1
	back_off: duration & >=0s & <=10min | *100ms
	marks_retries: bool | *true
	// The least share of the hard deadline that a client waits.
	patience: number & >0 & <=1 | *1
}

#Trouble: {
	kind: "crash" | "vanish" | "hang" | "slow" | "fail-index" | "lose-answers" | "half-dead" | "partition" | "zone-loss" | "release" |
		"deadly" | "burst" | "retry-storm" | "cold-restart" | "discovery-down" | "discovery-stale" |
		"discovery-flaps" | "router-crash" | "frozen-reports" | "untrue-reports" | "drain" | "clock-skew"
	at: duration & >=0s & <=1d
	for: duration & >=0s & <=1d | *0s
	// The share of nodes or routers that it hits, or of lookups that are deadly.
	share: #Share | *0.1
	// How many times: slower, more lookups, more retries, later news, too low reports.
	times: number & >0 & <=1000 | *4
	index: int & >=0 & <=63 | *0
	// Of a partition: from the first zone to the second; the other way too.
	zones: [...int & >=0 & <=15] | *[0, 1]
	both: bool | *true
}

#World: {
	name: string & =~"^[a-z0-9][a-z0-9-]{0,63}$"
	seconds: int & >=1 & <=86400 | *60
	// Not counted at the beginning.
	settle: int & >=0 & <=3600 | *5
	routers: int & >=1 & <=5000 | *4
	shards: int & >=1 & <=100000 | *24
	// Lookups and parts in hand at a router; beyond, it turns away before it decides.
	most_held: int & >=1 & <=1000000 | *1000
	most_calls: int & >=1 & <=10 | *3
	second_copies: bool | *true
	indexes: [...#Index]
	nodes: #Nodes
	network: #Network
	discovery: #Discovery
	clients: #Clients
	troubles: [...#Trouble] | *[]
}

#Policy: "design" | "random" | "round-robin" | "least-outstanding" | "two-choices" | "paper" | "oracle"

#Plan: {
	name: string & =~"^[a-z0-9][a-z0-9-]{0,63}$"
	policies: [...#Policy] | *["design"]
	// Times the clients' rate.
	loads: [...number & >0 & <=100] | *[1]
	seeds: int & >=1 & <=10000 | *5
	first_seed: int & >=0 & <=1000000000 | *1
	worlds: [...#World]
}
