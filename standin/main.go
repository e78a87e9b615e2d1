// Command standin runs the stand-ins of the systems around papayaport.
package main

func main() {}
