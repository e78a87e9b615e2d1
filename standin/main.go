// Command standin runs the simulated systems around papayaport, the load generator and the
// measurements.
package main

import (
	"papayaport.dev/serving/process/signals"
	"papayaport.dev/standin/command"
)

func main() {
	signals.New() // keeps all signals from their default actions; each command says which ones stop it
	command.Main()
}
