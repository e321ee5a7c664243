// Command knapweedshored is the load balancer daemon on an entry VM.
package main

func main() {}
