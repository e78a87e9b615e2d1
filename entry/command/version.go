package command

import (
	"fmt"

	"papayaport.dev/entry/daemon"
)

// version prints the daemon's version.
type version struct{}

// Run prints the program's name and version.
func (v *version) Run(out *streams) error {
	fmt.Fprintln(out.out, "papayaport", daemon.Version)
	return nil
}
