// Command papayactl is the command line of the operators.
package main

import (
	"os"

	"papayaport.dev/ctl/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
