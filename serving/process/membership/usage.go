package membership

// BackendUsage is the load of one or several entry instances at a backend server.
type BackendUsage struct {
	// Backend is the instance id of the backend server.
	Backend string `cbor:"1,keyasint"`
	// InFlight is the number of requests in flight.
	InFlight int `cbor:"2,keyasint"`
	// PrefillTokens is the number of prompt tokens of requests without a first answer token.
	PrefillTokens int `cbor:"3,keyasint"`
}

// AccountUsage is the usage of a client account at one or several entry instances.
type AccountUsage struct {
	// Account is "SERVICE/ACCOUNT".
	Account string `cbor:"1,keyasint"`
	// RequestsPerSecond is the demand in requests per second, including refused ones.
	RequestsPerSecond float64 `cbor:"2,keyasint"`
	// TokensPerSecond is the demand in prompt and answer tokens per second.
	TokensPerSecond float64 `cbor:"3,keyasint"`
	// InFlight is the number of admitted requests in flight.
	InFlight int `cbor:"4,keyasint"`
}

// LocalState is the state of an entry instance that it gossips to the others.
type LocalState struct {
	// ConfigVersion is the active configuration version.
	ConfigVersion uint64
	// ManifestHash identifies the manifest of that version.
	ManifestHash string
	// Draining is set while this entry instance accepts no new requests.
	Draining bool
	Backends []BackendUsage
	Accounts []AccountUsage
}

// Totals is the usage of all other entry instances together.
type Totals struct {
	// Entries is the number of other live entry instances.
	Entries int
	// ByBackend holds the load of the other instances by backend server id.
	ByBackend map[string]BackendUsage
	// ByAccount holds the usage at the other instances by "SERVICE/ACCOUNT".
	ByAccount map[string]AccountUsage
}
