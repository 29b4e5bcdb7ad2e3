// Command junctionctl is the command-line tool for operators of junctionfold.
package main

import (
	"os"

	"github.com/junctionfold/junctionfold/internal/cli"
)

func main() { os.Exit(cli.Operator(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
