// Command papayaport is the serving daemon of an entry instance.
package main

import (
	"os"

	"papayaport.dev/entry/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
