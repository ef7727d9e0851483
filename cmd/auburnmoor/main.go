// Command auburnmoor is the serving layer and its tools in one binary.
package main

import (
	"os"

	"github.com/auburnmoor/auburnmoor/cli"
	_ "github.com/auburnmoor/auburnmoor/modules"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
