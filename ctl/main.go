// Command papayactl is the operators' command-line client of the administration API.
package main

import (
	"os"

	"papayaport.dev/ctl/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
