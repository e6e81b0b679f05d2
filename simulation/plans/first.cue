// A first look: a calm day and three troubled ones, the design beside random choice and the oracle.
package plans

name: "first"
policies: ["design", "random", "two-choices", "oracle"]
seeds: 4

#Common: {
	seconds: 40
	clients: rate: 300
	indexes: [
		{name: "history", weight: 3, parts: [1, 4], work: mean: 20ms},
		{name: "sweep", parts: [4, 12], work: mean: 25ms, gain: 4, least: 0.7, soft: 1500ms},
		{name: "tag", parts: [1, 2], work: mean: 15ms, repeat: "fingerprinted"},
	]
}

worlds: [
	#Common & {name: "calm"},
	#Common & {name: "hang", troubles: [{kind: "hang", at: 12s, for: 10s, share: 0.17}]},
	#Common & {name: "slow", troubles: [{kind: "slow", at: 12s, for: 10s, share: 0.17, times: 6}]},
	#Common & {name: "cold", troubles: [{kind: "cold-restart", at: 12s, share: 0.33}]},
]
