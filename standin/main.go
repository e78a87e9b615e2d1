// Command standin runs the stand-ins of the systems around papayaport.
package main

import "papayaport.dev/standin/command"

func main() { command.Main() }
