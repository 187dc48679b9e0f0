package ctl

import (
	"fmt"
	"os"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/jsonc"
)

// ConfigRules checks a configuration for the users' platform, and compares it with the value in
// force if that is not nil. The files are named in the findings. The differences are nil if there is
// nothing to compare.
type ConfigRules func(file string, value []byte, inForceFile string, inForce []byte) (finding.List, []jsonc.Change)

// CheckConfigResult is the result of CheckConfig.
type CheckConfigResult struct {
	File     string       `json:"file"`
	Findings finding.List `json:"findings"`
	// InForce is the file that was compared, or "".
	InForce string `json:"in_force,omitempty"`
	// Differences are those of File from InForce, nil if they cannot be compared.
	Differences []jsonc.Change `json:"differences"`
}

func (r *CheckConfigResult) text() []string {
	var lines []string
	for _, f := range r.Findings {
		lines = append(lines, f.String())
		if f.Remedy != "" {
			lines = append(lines, "  to do: "+f.Remedy)
		}
	}
	if len(lines) == 0 {
		lines = append(lines, r.File+": no findings")
	}
	if r.InForce == "" {
		return lines
	}
	if r.Differences == nil {
		return append(lines, "not compared with "+r.InForce)
	}
	lines = append(lines, fmt.Sprintf("differences from %s: %d", r.InForce, len(r.Differences)))
	for _, change := range r.Differences {
		lines = append(lines, "  "+change.String())
	}
	return lines
}

// errors returns the number of findings that keep the configuration from being used.
func (r *CheckConfigResult) errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == finding.Error {
			n++
		}
	}
	return n
}

// CheckConfig checks the configuration in the file, and compares it with that in inForce unless
// that is empty. The error is a *UsageError if a file can't be read and a *RefusedError if a
// finding is an error.
func CheckConfig(rules ConfigRules, file, inForce string) (*CheckConfigResult, error) {
	if rules == nil {
		return nil, &UsageError{Detail: "check-config: this program has no rules of configurations"}
	}
	value, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Detail: err.Error()}
	}
	var current []byte
	if inForce != "" {
		if current, err = os.ReadFile(inForce); err != nil {
			return nil, &UsageError{Detail: err.Error()}
		}
	}
	r := &CheckConfigResult{File: file, InForce: inForce}
	r.Findings, r.Differences = rules(file, value, inForce, current)
	if r.Findings == nil {
		r.Findings = finding.List{}
	}
	if n := r.errors(); n > 0 {
		return r, &RefusedError{Detail: fmt.Sprintf("errors: %d", n)}
	}
	return r, nil
}
