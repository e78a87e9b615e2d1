// Command papayaport is the serving daemon of an entry instance.
package main

import (
	"os"

	"papayaport.dev/entry/command"
	"papayaport.dev/serving/process/signals"
)

func main() { os.Exit(command.Main(signals.New(), os.Args[1:], os.Stdout, os.Stderr)) }
