// Command knapweedshored is the load balancer daemon that runs on an entry VM.
package main

import (
	"context"
	"os"
)

func main() { os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
