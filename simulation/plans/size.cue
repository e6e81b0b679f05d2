// What a lookup costs beside its parts' work as the fleet grows, with as much to do by node and by router.
package plans

name: "size"
policies: ["design", "random", "two-choices"]
seeds: 3

#Common: {
	seconds: 14
	settle: 4
	indexes: [
		{name: "history", weight: 3, parts: [1, 4], work: mean: 20ms},
		{name: "tag", parts: [1, 2], work: mean: 15ms, repeat: "fingerprinted"},
	]
}

worlds: [
	#Common & {name: "n12", routers: 4, clients: rate: 300, nodes: cells: 6},
	#Common & {name: "n48", routers: 16, clients: rate: 1200, shards: 96, nodes: cells: 24},
	#Common & {name: "n192", routers: 64, clients: rate: 4800, shards: 384, nodes: cells: 96},
]
