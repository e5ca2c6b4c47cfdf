// Command godwithatch is a query tier over many shards. See README.md.
package main

import (
	"os"

	"github.com/godwithatch/godwithatch/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
