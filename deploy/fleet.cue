// A fleet of three routers that agree on one policy: the same file for each of them. Off in the platform's `run`.
//
//	ternpick fleet init --config n0.json --settings deploy/fleet.cue      (once for each, at the founding)
//	ternpick serve --config n0.json --settings deploy/fleet.cue
//
// `ternpick check --settings FILE` prints each value that is used and where it came from. {name} is the router's own name.
package deploy

log: form: "text"

control: {
	socket:  "run-{name}.sock"
	upgrade: true
}

fleet: {
	name: "kestrel-plains"
	// Three, five or seven vote, in different zones; all others follow without a vote.
	members: {
		n0: {address: "127.0.0.1:9300", zone: "north", vote: true}
		n1: {address: "127.0.0.1:9301", zone: "south", vote: true}
		n2: {address: "127.0.0.1:9302", zone: "east", vote: true}
	}
	// Has to last: what this router has answered for is kept there.
	folder: "fleet-{name}"
	// A router that cannot reach a majority admits for this long at most.
	lease: 2s
	renew: 500ms
	// Clocks may run fast or slow by a hundredth.
	drift_ppm: 10000
	// Lookups wait so long at most while a change takes hold.
	hold: 250ms
	patience: 150ms
	// "serve-and-mark" gives the rule up knowingly: status and each answer say so.
	without_lease: "refuse"
	confirm:       false
	// Machines go out for work in an order that the routers settle (docs/ops/maintenance.md); off without this.
	works: {
		keep:       2
		zone_share: 0.5
		most_out:   0.2
		// The longest deadline of any lookup at least.
		lingers: 10s
		calm:    10s
	}
}
