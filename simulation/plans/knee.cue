// Gain against offered load, through the knee to three times what the fleet can do, and a storm of retries at its edge.
package plans

name: "knee"
policies: ["design", "two-choices", "oracle"]
loads: [0.5, 0.8, 1, 1.25, 1.5, 2, 3]
seeds: 4

#Mix: [
	{name: "history", weight: 3, parts: [1, 4], work: mean: 20ms},
	{name: "sweep", parts: [4, 12], work: mean: 25ms, gain: 4, least: 0.7, soft: 1500ms},
	{name: "tag", parts: [1, 2], work: mean: 15ms, repeat: "fingerprinted"},
]

worlds: [
	// 644 lookups a second are all that these nodes can do.
	{name: "steady", seconds: 40, clients: rate: 644, indexes: #Mix},
	{name: "retried", seconds: 40, clients: {rate: 644, retries: 3, back_off: 50ms}, indexes: #Mix},
]
