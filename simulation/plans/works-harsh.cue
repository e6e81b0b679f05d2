// Routers that are cut off, stopped and ended all the time while machines go out: what a permit has to wait for.
name:         "works-harsh"
routers:      5
voters:       3
nodes:        12
sets:         4
works:        true
work:         1s
rate:         150
clients:      96
seconds:      14
change_every: 10min
fault_every:  500ms
faults: ["isolate", "long-stop", "isolate", "cut", "kill", "stop"]
