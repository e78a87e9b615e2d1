// Command papayactl is the command line of the operators.
package main

func main() {}
