//go:build race

package proof

// buildFlags make the race detector watch the programs too.
var buildFlags = []string{"-race"}
