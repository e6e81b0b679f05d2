// The definitions of the record 'identity' in a settings file.

#Name: string & =~"^[A-Za-z0-9][A-Za-z0-9._@/-]{0,127}$"
#Index: string & =~"^([a-z0-9][a-z0-9-]*|\\*)$"
#Act: "read" | "set" | "clear"
#Time: string & =~"^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}Z$"

// A source of documents: either a file that is read regularly, or a service over plain HTTP.
#Source: {
	file?: string
	address?: string
	path: string & =~"^/[!-~]*$" | *"/"
	// The regular and the minimum time between two polls.
	every: duration & >=100ms & <=1h | *5s
	apart: duration & >=50ms & <=10min | *1s
	// The maximum duration of one request.
	patience: duration & >=50ms & <=30s | *2s
	// The file in which the last usable document is stored, for a start while the source is unavailable.
	kept?: string
}

#Grant: {
	index: #Index
	acts: [...#Act] | *["read"]
	deny: bool | *false
}

#Limits: {
	// The tenant's share of the shared limit while that limit is reached, relative to the other tenants' weights.
	weight: number & >0 & <=1000 | *1
	in_hand: int & >=1 & <=100000 | *1000
	per_second: number & >0 & <=1000000 | *1000
	burst: number & >=1 & <=1000000 | *200
	// Retries that clients may send, for each query that is not a retry.
	repeats: number & >=0 & <=10 | *0.2
}

#Tenant: {
	// The roles that the tenant's callers may have; without this field, any.
	roles?: [...#Name]
	limits: #Limits
}

#Identity: {
	issuer: string
	audience: string
	skew: duration & >=0s & <=5min | *5s
	// The maximum time between a token's issue and its expiry.
	longest: duration & >=1s & <=7d | *1h
	// The maximum number of cached tokens.
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
	// The acts of a request: those of all patterns that match its statement.
	acts?: [...{
		index: #Index
		acts: [...#Act]
		statement: string
	}]
	whole: {
		// The shared limit on all tenants' queries in flight: its initial, minimum and maximum value.
		begins: int & >=1 & <=100000 | *64
		least: int & >=1 & <=100000 | *8
		most: int & >=1 & <=100000 | *1000
	}
}
