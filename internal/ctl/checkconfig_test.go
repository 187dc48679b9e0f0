package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"chestnutrouter.example/chestnutrouter/platform"
)

// runCheckConfig runs chestnutctl check-config in this process, with the rules of the users'
// platform and without an address of the store.
func runCheckConfig(t *testing.T, args ...string) (string, ExitCode) {
	t.Helper()
	t.Setenv(platformVariable, "")
	var stdout, stderr bytes.Buffer
	p := Program{ConfigRules: platform.CheckConfig}
	code := p.Main(t.Context(), append([]string{"check-config"}, args...), &stdout, &stderr)
	return stdout.String() + stderr.String(), code
}

// The golden files guard the findings of each fault, their order, position and advice, and the
// differences. No output may contain a tenant's key; all keys of the files begin with "k-".
func TestCheckConfig(t *testing.T) {
	const inForce = "testdata/config-in-force.json"
	for golden, c := range map[string]struct {
		args []string
		code ExitCode
	}{
		"config-faults":      {[]string{"testdata/config-faults.json"}, ExitRefused},
		"config-public":      {[]string{"testdata/config-public.json"}, ExitRefused},
		"config-syntax":      {[]string{"testdata/config-syntax.json"}, ExitRefused},
		"config-same":        {[]string{inForce, "--in-force", inForce}, ExitRefused},
		"config-differences": {[]string{"testdata/config-next.json", "--in-force", inForce}, ExitOK},
		"config-json":        {[]string{"testdata/config-public.json", "--in-force", inForce, "--json"}, ExitRefused},
		"config-bad-force":   {[]string{"testdata/config-next.json", "--in-force", "testdata/config-syntax.json"}, ExitRefused},
		"config-other-force": {[]string{inForce, "--in-force", "testdata/config-public.json"}, ExitOK},
	} {
		t.Run(golden, func(t *testing.T) {
			out, code := runCheckConfig(t, c.args...)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if strings.Contains(out, "k-") {
				t.Errorf("the output contains a key:\n%s", out)
			}
			goldie.New(t).Assert(t, golden, []byte(out))
		})
	}
}

// Warnings alone must not stop a script that writes the configuration after the check.
func TestCheckConfigWithWarningsSucceeds(t *testing.T) {
	content, err := os.ReadFile("testdata/config-next.json")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	changed := strings.Replace(string(content), `"maxAttempts": 2`, `"maxAttempts": 0`, 1)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	out, code := runCheckConfig(t, file, "--json")
	var r CheckConfigResult
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != ExitOK || len(r.Findings) != 1 || r.Findings[0].Severity != "warning" {
		t.Errorf("exit code %d, error %v, want 0 and one warning:\n%s", code, err, out)
	}
}

// A script tells a file that is missing, or a wrong command line, from a configuration with faults
// by the exit code.
func TestCheckConfigUsage(t *testing.T) {
	for _, args := range [][]string{
		{"no-such-file"},
		{"testdata"},
		{"testdata/config-next.json", "--in-force", "no-such-file"},
	} {
		if out, code := runCheckConfig(t, args...); code != ExitUsage || strings.Count(out, "\n") != 1 {
			t.Errorf("%q: exit code %d, want 2 and one line\n%s", args, code, out)
		}
	}
	if out, code := run(t, "check-config", "testdata/config-next.json"); code != ExitUsage {
		t.Errorf("without rules: exit code %d, want 2\n%s", code, out)
	}
}
