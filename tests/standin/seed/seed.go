// Package seed runs property tests with a fixed seed.
package seed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a fixed seed for rapid, the library for property
// tests, so that every run generates the same cases and has the same result. Flags on the
// command line take precedence. Main does not return: it exits with the result of the
// tests.
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
