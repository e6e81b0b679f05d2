author: "ann"
reason: "fewer repeats while the disks are exchanged"
indexes: history: {least: 0.75, partly_at: 900ms, calls: 2, copies: true}
indexes: tags: calls: 1
drained: ["s-1", "s-2"]
customers: north: per_second: 12.5
further: {spare: 3, share: 0.125}
