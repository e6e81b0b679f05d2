// Fifteen worlds, the design beside the baselines and the oracle, at the load that each is said to have.
package plans

name: "worlds"
policies: ["design", "random", "round-robin", "least-outstanding", "two-choices", "paper", "oracle"]
seeds: 8

#Mix: [
	{name: "history", weight: 3, parts: [1, 4], work: mean: 20ms},
	{name: "sweep", parts: [4, 12], work: mean: 25ms, gain: 4, least: 0.7, soft: 1500ms},
	{name: "tag", parts: [1, 2], work: mean: 15ms, repeat: "fingerprinted"},
]

#Common: {
	seconds: 50
	clients: rate: 350
	indexes: #Mix
}

worlds: [
	#Common & {name: "calm"},
	#Common & {name: "waves", clients: {wave: 0.6, wave_every: 20s}},
	#Common & {name: "crash", troubles: [{kind: "crash", at: 12s, for: 10s, share: 0.25}]},
	#Common & {name: "vanish", troubles: [{kind: "vanish", at: 12s, for: 10s, share: 0.25}]},
	#Common & {name: "hang", troubles: [{kind: "hang", at: 12s, for: 12s, share: 0.17}]},
	#Common & {name: "slow", troubles: [{kind: "slow", at: 12s, for: 12s, share: 0.17, times: 6}]},
	#Common & {name: "fails-one", troubles: [{kind: "fail-index", at: 12s, for: 12s, share: 0.25}]},
	#Common & {name: "cold", troubles: [{kind: "cold-restart", at: 12s, share: 0.33}]},
	#Common & {name: "burst", troubles: [{kind: "burst", at: 12s, for: 10s, times: 4}]},
	#Common & {name: "partition", network: zones: 3, troubles: [{kind: "partition", at: 12s, for: 12s, zones: [0, 1]}]},
	#Common & {name: "release", troubles: [{kind: "release", at: 10s, for: 25s, share: 0.5}]},
	#Common & {name: "storm", clients: {retries: 2, back_off: 50ms}, troubles: [
		{kind: "vanish", at: 12s, for: 6s, share: 0.25},
		{kind: "discovery-down", at: 11s, for: 12s},
		{kind: "retry-storm", at: 12s, for: 8s, times: 2},
	]},
	#Common & {name: "untrue", troubles: [{kind: "untrue-reports", at: 12s, for: 20s, share: 0.17, times: 8}]},
	#Common & {name: "half-dead", troubles: [{kind: "half-dead", at: 12s, for: 12s, share: 0.17}]},
	#Common & {name: "deadly", troubles: [{kind: "deadly", at: 12s, for: 8s, share: 0.005}]},
]
