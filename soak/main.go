// Command soak runs seeded fault injection tests against real entry instances.
package main

import (
	"os"

	"papayaport.dev/soak/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
