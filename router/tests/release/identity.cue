control: {socket: "run-{name}.sock"}
identity: {
	issuer: "https://sign-on.example", audience: "search"
	keys: {from: {file: "keys/jwks.json", every: 100ms, apart: 50ms, kept: "kept-keys"}, lingers: 1d}
	revocations: {
		from: {file: "keys/revoked.json", every: 100ms, apart: 50ms, kept: "kept-revocations"}
		reads_go_on: 7d, changes_go_on: 7d
	}
	tenants: north: limits: {}
	roles: crew: grants: [{index: "history"}]
	acts: [{index: "history", acts: ["read"], statement: "^find"}]
}
