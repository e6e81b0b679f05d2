// Every machine out and back once, with nothing broken.
name:         "works-quiet"
routers:      4
voters:       3
nodes:        9
sets:         3
works:        true
rate:         80
clients:      64
seconds:      3
change_every: 4s
fault_every:  10min
faults: ["kill"]
