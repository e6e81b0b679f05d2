// What docs/measurements/works.md rests on: six routers, 24 machines, 12 shards of three holders; every machine out and back once.
name:         "works"
routers:      6
voters:       5
nodes:        24
sets:         8
works:        true
fates:        true
work:         1500ms
rate:         100
clients:      96
seconds:      20
change_every: 5s
fault_every:  3s
faults: ["kill", "kill", "lead-kill", "cut", "stop", "isolate", "delay", "drop", "double", "restart", "long-stop", "reorder", "upgrade"]
