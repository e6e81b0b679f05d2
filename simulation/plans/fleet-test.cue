// The short form that CI plays: five processes, three of which vote.
name:         "fleet-test"
routers:      5
voters:       3
nodes:        4
rate:         60
clients:      48
seconds:      8
change_every: 500ms
fault_every:  900ms
