// Who may ask, for installations that want it: ternpick serve --config ... --settings deploy/identity.cue
// The platform's `run` line does not name this file: there all of it is off. `ternpick check --settings FILE` prints
// each value that is used and where it came from.
package deploy

log: form: "text"

identity: {
	issuer:   "https://sign-on.example"
	audience: "search"
	skew:     5s
	longest:  1h

	// Keys as `ternpick keys` publishes them. Where a service has them: {address: "127.0.0.1:8600", path: "/jwks"}.
	keys: from: {file: "keys/jwks.json", every: 1s, kept: "keys/jwks.kept"}

	// Revocations as `ternpick revoke` writes them. Reading goes on without word for ten minutes, setting a tag for 30 s.
	revocations: {
		from: {file: "keys/revoked.json", every: 1s}
		reads_go_on:   10min
		changes_go_on: 30s
	}

	// Client certificates, by a name in them.
	certificates: [{name: "crew-7.field.example", subject: "crew-7", tenant: "north", roles: ["crew"]}]

	tenants: {
		north: limits: {weight: 4, per_second: 2000}
		works: {
			roles: ["reader"]
			limits: {per_second: 50, burst: 20, repeats: 0.1}
		}
	}

	roles: {
		crew: grants: [{index: "history"}, {index: "lockout-tag"}]
		dispatcher: grants: [{index: "history"}, {index: "lockout-tag", acts: ["read", "set", "clear"]}]
		reader: grants: [{index: "history"}]
		// Goes before whatever else its holder has.
		trainee: grants: [{index: "lockout-tag", acts: ["set", "clear"], deny: true}]
	}

	// A contractor acts for a tenant (header On-Behalf-Of) until a time.
	delegations: [{subject: "contractor-9", tenant: "north", roles: ["crew"], until: "2027-03-31T18:00:00Z"}]

	// What a request does is told from its statement, which is what a node will run. What matches nothing needs all rights.
	acts: [
		{index: "lockout-tag", acts: ["read"], statement:  "^get [a-z0-9 ]*$"},
		{index: "lockout-tag", acts: ["set"], statement:   "^set [a-z0-9 ]*$"},
		{index: "lockout-tag", acts: ["clear"], statement: "^clear [a-z0-9 ]*$"},
	]

	whole: {begins: 64, least: 8, most: 1000}
}

// Beside the plain listener. Files are read again when they change; no connection is dropped for it.
// tls: {listen: "127.0.0.1:9443", certificate: "tls/server.pem", key: "tls/server.key", authorities: "tls/clients.pem"}
