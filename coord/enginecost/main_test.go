package enginecost_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed unless the command line sets it, which makes the result of every
// run the same.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
