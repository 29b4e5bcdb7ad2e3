// Command junctionfold is the daemon that runs on each VM of the serving layer.
package main

import (
	"os"

	"github.com/junctionfold/junctionfold/internal/cli"
)

func main() { os.Exit(cli.Daemon(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
