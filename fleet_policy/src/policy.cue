// A policy of the fleet. What is left out stays as the platform's own settings say; nothing goes beyond them.

#Policy: {
	author: string & =~"."
	reason: string & =~"."
	// By the index's name.
	indexes: {[string]: #PolicyIndex} | *{}
	// Nodes that get no new work, by name.
	drained: [...string] | *[]
	// Lookups a second within each customer's share, over all routers, by name.
	customers: {[string]: {per_second: number & >0}} | *{}
	// Further calls for parts, over all indexes: within each window so many, and this share of what was taken.
	further?: #Further
}

#PolicyIndex: {
	// The least share of parts that an answer may rest on.
	least?: number & >=0 & <=1
	// When to answer with what is in, from the lookup's coming on.
	partly_at?: duration & >=1ms
	// Calls for a part, the first included.
	calls?: int & >=1
	// Whether a late part may have a second call beside the first.
	copies?: bool
}

#Further: {
	spare: number & >=0
	share: number & >=0 & <=1
}
