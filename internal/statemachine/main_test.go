package statemachine

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that every run has the same result. The
// flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
