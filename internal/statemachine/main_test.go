package statemachine

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed, so that every run has the same verdict;
// -rapid.seed looks elsewhere.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
