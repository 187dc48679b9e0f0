// Package scripts_test tests the scripts that CI runs.
package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const knownRed = `# comment
test: platform TestSlow TestLate
command: none
test: internal/forward TestEndless
`

// Guards against CI that passes although a test process was ended by a signal, beside a known red
// test, and against a test that passes as known red by the name of one in another package.
func TestVerdict(t *testing.T) {
	const module = "chestnutrouter.example/chestnutrouter/"
	const (
		passed   = "ok  \t" + module + "internal/tree\t0.1s\n"
		slow     = "--- FAIL: TestSlow (0.10s)\n    path_test.go:1: too slow\n"
		late     = "--- FAIL: TestLate (0.10s)\n    --- FAIL: TestLate/first (0.00s)\n"
		other    = "--- FAIL: TestOther (0.10s)\n"
		platform = "FAIL\t" + module + "platform\t1.2s\n"
		forward  = "FAIL\t" + module + "internal/forward\t1.2s\n"
		ended    = "FAIL\n"
	)
	for name, c := range map[string]struct {
		output string
		passes bool
	}{
		"known tests":                           {passed + slow + late + ended + platform + passed, true},
		"known tests of two packages":           {slow + ended + platform + "--- FAIL: TestEndless (1s)\n" + ended + forward, true},
		"another test":                          {slow + other + ended + platform, false},
		"another test of a package that passed": {slow + ended + platform + other + ended + forward, false},
		"a known name in another package":       {slow + ended + forward, false},
		"a signal":                              {passed + "signal: killed\n" + forward, false},
		"a signal beside a known test":          {slow + ended + platform + "signal: killed\n" + forward, false},
		"a signal after output":                 {slow + ended + platform + "some output\n" + forward, false},
		"a signal after a known test":           {slow + platform, false},
		"a leak found after the tests":          {slow + ended + platform + "PASS\ngoleak: Errors on successful test run\n" + forward, false},
		"a panic":                               {slow + "panic: test timed out after 20m0s\n" + platform, false},
		"a data race":                           {"WARNING: DATA RACE\n" + slow + ended + platform, false},
		"a build error":                         {slow + ended + platform + "FAIL\t" + module + "internal/forward [build failed]\n", false},
		"no tests":                              {"go: updates to go.mod needed\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			output, known := filepath.Join(dir, "output"), filepath.Join(dir, "known")
			for file, text := range map[string]string{output: c.output, known: knownRed} {
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			report, err := exec.Command("bash", "verdict", output, known).CombinedOutput()
			if (err == nil) != c.passes {
				t.Errorf("got %v, want success %v\n%s", err, c.passes, report)
			}
		})
	}
}
