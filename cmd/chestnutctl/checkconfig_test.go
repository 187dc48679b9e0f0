package main

import (
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The program must check configurations with the rules of the users' platform, and must not need
// the address of a store.
func TestCheckConfigOfTheProgram(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "chestnutctl")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	const data = "../../internal/ctl/testdata/"
	for file, want := range map[string]int{"config-next.json": 0, "config-public.json": 1, "no-such-file": 2} {
		cmd := exec.CommandContext(t.Context(), binary, "check-config", data+file, "--in-force", data+"config-in-force.json")
		cmd.Env = []string{} // names no platform
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		if code := cmd.ProcessState.ExitCode(); code != want || want == 0 && !strings.Contains(string(out), "differences from") {
			t.Errorf("%s: exit code %d, want %d\n%s", file, code, want, out)
		}
	}
}
