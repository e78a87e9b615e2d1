package rollout

// Evidence counts how attempts ended, by route and cohort.
type Evidence struct {
	Routes map[string]Cohorts `cbor:"1,keyasint,omitempty" json:"routes,omitempty"`
	// Servers counts the candidate's answers by server.
	Servers map[string]Tally `cbor:"2,keyasint,omitempty" json:"servers,omitempty"`
}

// Cohorts holds the counts of a route at the candidate and at the old versions.
type Cohorts struct {
	Candidate Tally `cbor:"1,keyasint" json:"candidate"`
	Old       Tally `cbor:"2,keyasint" json:"old"`
}

// Tally counts answers, failures and, in ratioBuckets buckets, how times compare with their
// estimates.
type Tally struct {
	Answers  int   `cbor:"1,keyasint" json:"answers"`
	Failures int   `cbor:"2,keyasint" json:"failures"`
	First    []int `cbor:"3,keyasint,omitempty" json:"first,omitempty"`
	Whole    []int `cbor:"4,keyasint,omitempty" json:"whole,omitempty"`
}
