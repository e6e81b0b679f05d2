// Every machine out and back once, while routers are killed, cut off and stopped: the short form that CI plays.
name:         "works-test"
routers:      4
voters:       3
nodes:        9
sets:         3
works:        true
fates:        true
rate:         80
clients:      64
seconds:      8
change_every: 4s
fault_every:  1500ms
faults: ["kill", "cut", "stop", "isolate", "delay", "lead-kill", "drop", "double", "restart", "long-stop"]
