author: "dora"
reason: "one call"
indexes: history: {least: 1, calls: 1, copies: false}
drained: ["s-4", "s-5"]
