// Command standin runs the simulated systems around papayaport, the load generator and the
// measurements.
package main

import "papayaport.dev/standin/command"

func main() { command.Main() }
