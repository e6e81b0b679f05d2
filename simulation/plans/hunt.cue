// Where a hunt begins: a calm day of moderate load, and one with little room.
package plans

name: "hunt"

#Common: {
	seconds: 24
	settle: 4
	indexes: [
		{name: "history", weight: 3, parts: [1, 4], work: mean: 20ms},
		{name: "sweep", parts: [4, 12], work: mean: 25ms, gain: 4, least: 0.7, soft: 1500ms},
		{name: "tag", parts: [1, 2], work: mean: 15ms, repeat: "fingerprinted"},
	]
}

worlds: [
	#Common & {name: "moderate", clients: rate: 250},
	#Common & {name: "tight", clients: rate: 480},
]
