package membership

// BackendUse is the work that one or several entry instances have at a backend server.
type BackendUse struct {
	// Backend is the instance id of the backend server.
	Backend string `cbor:"1,keyasint"`
	// InFlight is the number of requests sent and not finished.
	InFlight int `cbor:"2,keyasint"`
	// PrefillTokens is the number of prompt tokens sent whose first answer token is still missing.
	PrefillTokens int `cbor:"3,keyasint"`
}

// AccountUse is what a client account takes through one or several entry instances.
type AccountUse struct {
	// Account is "SERVICE/ACCOUNT".
	Account string `cbor:"1,keyasint"`
	// RequestsPerSecond is the demand in requests a second, refused ones included.
	RequestsPerSecond float64 `cbor:"2,keyasint"`
	// TokensPerSecond is the demand in prompt and answer tokens a second.
	TokensPerSecond float64 `cbor:"3,keyasint"`
	// InFlight is the number of admitted requests in flight.
	InFlight int `cbor:"4,keyasint"`
}

// Local is what an entry instance tells the others about itself.
type Local struct {
	// ConfigVersion is the configuration version in force here.
	ConfigVersion uint64
	// ManifestHash names the manifest of that version.
	ManifestHash string
	// Draining tells that this entry instance takes no new requests.
	Draining bool
	Backends []BackendUse
	Accounts []AccountUse
}

// Totals is what an entry instance knows of all the others together, without itself.
type Totals struct {
	// Entries is the number of other entry instances heard of lately.
	Entries int
	// ByBackend holds the other entries' work by backend server id.
	ByBackend map[string]BackendUse
	// ByAccount holds the other entries' use by "SERVICE/ACCOUNT".
	ByAccount map[string]AccountUse
}
