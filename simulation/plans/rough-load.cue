// The same with faults on the sockets, a router killed, one restarted, and an upgrade.
package plans

name: "rough"
rate: 500
seconds: 14
routers: 2
nodes: 6
takes: 2ms
faults: [
	{kind: "stall", at: 2s, for: 1s},
	{kind: "reset", at: 4s, for: 500ms, nodes: 2},
	{kind: "cut", at: 5s, for: 500ms},
	{kind: "spoilt", at: 6s, for: 500ms},
	{kind: "slow-reader", at: 7s, for: 1s},
]
events: [
	{kind: "upgrade", at: 9s},
	{kind: "restart", at: 10s, router: 1},
	{kind: "kill", at: 12s},
]
