package command

import "fmt"

// checkSettings validates a settings file.
type checkSettings struct {
	File string `arg:"" type:"existingfile" help:"Settings file (JSON)."`
}

// Run prints all faults of the file, which is valid if there are none.
func (c *checkSettings) Run(out *streams) error {
	if _, err := readSettings(c.File, out); err != nil {
		return err
	}
	fmt.Fprintf(out.out, "papayaport: %s is good\n", c.File)
	return nil
}
