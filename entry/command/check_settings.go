package command

import "fmt"

// checkSettings checks a settings file.
type checkSettings struct {
	File string `arg:"" type:"existingfile" help:"Settings file (JSON)."`
}

// Run prints all faults of the file.
func (c *checkSettings) Run(out *output) error {
	if _, err := readSettings(c.File, out); err != nil {
		return err
	}
	fmt.Fprintf(out.out, "papayaport: %s is good\n", c.File)
	return nil
}
