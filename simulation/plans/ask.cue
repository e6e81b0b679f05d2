// A short plan to ask of two builds: is a change to the module better? Run it with each, then compare the folders.
package plans

name: "ask"
policies: ["design"]
seeds: 8

#Common: {
	seconds: 40
	clients: rate: 450
	indexes: [
		{name: "history", weight: 3, parts: [1, 4], work: mean: 20ms},
		{name: "sweep", parts: [4, 12], work: mean: 25ms, gain: 4, least: 0.7, soft: 1500ms},
		{name: "tag", parts: [1, 2], work: mean: 15ms, repeat: "fingerprinted"},
	]
}

worlds: [
	#Common & {name: "hang", troubles: [{kind: "hang", at: 12s, for: 12s, share: 0.25}]},
	#Common & {name: "crash", troubles: [{kind: "crash", at: 12s, for: 10s, share: 0.17}, {kind: "router-crash", at: 14s, for: 4s, share: 0.25}]},
	#Common & {name: "burst", troubles: [{kind: "burst", at: 12s, for: 8s, times: 3}]},
	#Common & {name: "lost", troubles: [{kind: "lose-answers", at: 12s, for: 12s, share: 0.25}]},
]
