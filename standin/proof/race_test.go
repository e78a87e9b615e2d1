//go:build race

package proof

// buildFlags build the programs under test with the race detector.
var buildFlags = []string{"-race"}
