// What may stand in the record 'identity' of a settings file.

#Name: string & =~"^[A-Za-z0-9][A-Za-z0-9._@/-]{0,127}$"
#Index: string & =~"^([a-z0-9][a-z0-9-]*|\\*)$"
#Act: "read" | "set" | "clear"
#Time: string & =~"^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}Z$"

// A file that is looked at again and again, or a service on plain HTTP: one of the two.
#Source: {
	file?: string
	address?: string
	path: string & =~"^/[!-~]*$" | *"/"
	// The regular time between two looks, and the least whatever comes up.
	every: duration & >=100ms & <=1h | *5s
	apart: duration & >=50ms & <=10min | *1s
	// How long one call may take.
	patience: duration & >=50ms & <=30s | *2s
	// Where the last good answer is kept, for a start while the source is away.
	kept?: string
}

#Grant: {
	index: #Index
	acts: [...#Act] | *["read"]
	deny: bool | *false
}

#Limits: {
	// Its part where the whole is short, against the other tenants' parts.
	weight: number & >0 & <=1000 | *1
	in_hand: int & >=1 & <=100000 | *1000
	per_second: number & >0 & <=1000000 | *1000
	burst: number & >=1 & <=1000000 | *200
	// Repeats of clients, for each lookup that is none.
	repeats: number & >=0 & <=10 | *0.2
}

#Tenant: {
	// The roles that its callers may have; without it, any.
	roles?: [...#Name]
	limits: #Limits
}

#Identity: {
	issuer: string
	audience: string
	skew: duration & >=0s & <=5min | *5s
	// The longest time that a token may be made for.
	longest: duration & >=1s & <=7d | *1h
	// Verified tokens that are remembered.
	known: int & >=1 & <=100000 | *2048
	keys?: {
		from: #Source
		lingers: duration & >=0s & <=1d | *1min
	}
	revocations?: {
		from: #Source
		reads_go_on: duration & >=1s & <=7d | *10min
		changes_go_on: duration & >=1s & <=7d | *30s
	}
	certificates?: [...{
		name: string
		subject: #Name
		tenant: #Name
		roles: [...#Name] | *[]
	}]
	tenants?: [=~"^[A-Za-z0-9][A-Za-z0-9._@/-]{0,127}$"]: #Tenant
	roles?: [=~"^[A-Za-z0-9][A-Za-z0-9._@/-]{0,127}$"]: grants: [...#Grant]
	delegations?: [...{
		subject: #Name
		tenant: #Name
		roles: [...#Name]
		until: #Time
	}]
	// What a request does, told from its statement: all acts of all patterns that match.
	acts?: [...{
		index: #Index
		acts: [...#Act]
		statement: string
	}]
	whole: {
		// Lookups in hand of all tenants: where the limit begins, and between what it moves.
		begins: int & >=1 & <=100000 | *64
		least: int & >=1 & <=100000 | *8
		most: int & >=1 & <=100000 | *1000
	}
}
