// Command papayaport is the daemon on an entry instance.
package main

func main() {}
