// Command soak runs seeded fault injection tests against real entry instances.
package main

import (
	"os"

	"papayaport.dev/serving/process/signals"
	"papayaport.dev/soak/command"
)

func main() {
	os.Exit(command.Main(signals.New().StopOnHangUp().Context(), os.Args[1:], os.Stdout, os.Stderr))
}
