// Seven processes, nothing broken: how long a change takes, what the fleet costs.
name:         "fleet-quiet"
seconds:      20
change_every: 500ms
fault_every:  1min
lease:        2s
renew:        500ms
faults: []
