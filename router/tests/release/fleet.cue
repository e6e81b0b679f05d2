// One router votes, so that it can go on alone; the others are members that are never there.
control: {socket: "run-{name}.sock", upgrade: true}
fleet: {
	name:   "released-fleet"
	folder: "fleet-{name}"
	listen: "127.94.7.1:9402"
	lease:    400ms
	renew:    100ms
	election: 200ms
	confirm:  true
	members: {
		n0: {address: "127.94.7.1:9402", zone: "north", vote: true}
		n1: {address: "127.94.7.1:9403", zone: "south"}
		n2: {address: "127.94.7.1:9404", zone: "east"}
	}
	works: {lingers: 1s, calm: 100ms, zone_share: 0, most_out: 1}
}
