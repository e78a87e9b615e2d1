//go:build !race

package proof

var buildFlags []string
