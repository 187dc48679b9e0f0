// Package process_test runs entries as real processes on loopback.
package process_test

import (
	"context"
	"fmt"
	"os"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/standin/backend"
)

// exampleTree is the tree that the tests publish, or change a copy of.
const exampleTree = "../../examples/tree"

var binaries proctest.Binaries

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutrouter")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaries, err = proctest.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startFleet returns a fleet with the example tree, one backend server for each
// of its services and n ready entries.
func startFleet(t *testing.T, n int) *proctest.Fleet {
	t.Helper()
	f := proctest.NewFleet(t.TempDir(), binaries)
	t.Cleanup(f.Close)
	for i, service := range []string{"glazenpot/shop", "glazenpot/intake", "tabloblan/booking", "tabloblan/archive"} {
		f.StartLocalServer(fmt.Sprint("server-", i), "zone-a", service, backend.Options{})
	}
	if _, err := f.RunCtl(t.Context(), "publish", exampleTree, "--publisher", "glazenpot/test"); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		startEntry(t, f, fmt.Sprint("entry-", i))
	}
	return f
}

// startEntry starts an entry and waits until it is ready.
func startEntry(t *testing.T, f *proctest.Fleet, name string) *proctest.Entry {
	t.Helper()
	e, err := f.StartEntry(name, "zone-a")
	if err != nil {
		t.Fatal(err)
	}
	if err := e.WaitReady(t.Context()); err != nil {
		log, _ := os.ReadFile(e.LogFile())
		t.Fatalf("%v\n%s", err, log)
	}
	return e
}
