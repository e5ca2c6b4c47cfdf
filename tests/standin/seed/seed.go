// Package seed fixes the seed of property tests.
package seed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests with a fixed seed, so that every run gives the same
// verdict. Flags of the command line go before it.
func Main(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
