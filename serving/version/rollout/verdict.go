package rollout

// Verdict is what the evidence says of a candidate.
type Verdict string

// Verdicts.
const (
	Undecided Verdict = "undecided"
	Good      Verdict = "good"
	Bad       Verdict = "bad"
)

// Finding is a verdict with the test that decided it, for logs. For a good or undecided
// verdict it holds the test over all routes that came closest to bad.
type Finding struct {
	Verdict Verdict
	// Reason says in a few words why the step was taken.
	Reason string
	// Test is "failures", "first" or "whole".
	Test string
	// Route is the route tested, empty for all routes together.
	Route string
	// Recent tells that only the answers of the last seconds were tested.
	Recent bool
	// Backstop tells that the count of bad answers decided, and not their probability.
	Backstop bool
	// Answers and Bad count the candidate's, OldAnswers and OldBad the old versions'.
	Answers, Bad, OldAnswers, OldBad int
	// Tolerated is the tolerated rate, and Probability that of at least Bad bad answers at it.
	Tolerated, Probability float64
}
