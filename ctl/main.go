// Command papayactl is the operators' command-line client of the administration API.
package main

import (
	"os"

	"papayaport.dev/ctl/command"
	"papayaport.dev/serving/process/signals"
)

func main() {
	os.Exit(command.Run(signals.New().StopOnHangUp().Context(), os.Args[1:], os.Stdout, os.Stderr))
}
