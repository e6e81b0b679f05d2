// A policy of the fleet. What is left out stays as the platform's own settings say; nothing goes beyond them.

#Policy: {
	author: string & =~"."
	reason: string & =~"."
	// By the index's name.
	indexes: {[string]: #PolicyIndex} | *{}
	// Nodes that get no new queries (draining), by name.
	drained: [...string] | *[]
	// Queries a second within each customer's quota, over all routers, by name.
	customers: {[string]: {per_second: number & >0}} | *{}
	// The retry budget, over all indexes: so many retries in each window, and this share of the admitted queries.
	further?: #Further
}

#PolicyIndex: {
	// The completeness threshold: the least share of shards that an answer may rest on.
	least?: number & >=0 & <=1
	// The partial-response deadline, from the query's arrival.
	partly_at?: duration & >=1ms
	// Attempts for a shard request, the first included.
	calls?: int & >=1
	// Whether a late shard request may have a hedged request beside it.
	copies?: bool
}

#Further: {
	spare: number & >=0
	share: number & >=0 & <=1
}
