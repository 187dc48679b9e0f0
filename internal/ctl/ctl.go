// Package ctl implements chestnutctl, with which operators check a directory of
// branches, publish its differences from the active configuration, approve
// proposals and inspect the active state. Operators of the users' platform check a
// configuration before they write it.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// ExitCode is the exit code of chestnutctl.
type ExitCode int

const (
	// ExitOK: the command succeeded.
	ExitOK ExitCode = 0
	// ExitRefused: the change is invalid, conflicts with another or did not pass the
	// vote.
	ExitRefused ExitCode = 1
	// ExitUsage: the command line is invalid.
	ExitUsage ExitCode = 2
	// ExitUnknown: the platform is unreachable or the outcome is not known.
	ExitUnknown ExitCode = 3
)

// pollInterval is the pause between two reads of the log or of an entry's status.
const pollInterval = 200 * time.Millisecond

// Main runs chestnutctl with its arguments and returns the exit code. It has no rules of
// configurations; see Program.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	return Program{}.Main(ctx, args, stdout, stderr)
}

// Program is chestnutctl with what depends on the users' platform.
type Program struct {
	// ConfigRules are the rules of check-config, nil if there are none.
	ConfigRules ConfigRules
}

// Main runs chestnutctl with its arguments and returns the exit code.
func (p Program) Main(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	cmd, err := parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "chestnutctl:", err)
		return exitCode(err)
	}
	client := logservice.NewClient(cmd.endpoints, logservice.Options{ClientName: "chestnutctl"})
	defer client.Close()
	c := &Client{Log: client, VMs: client, Publisher: cmd.publisher, Timeout: cmd.timeout, ConfigRules: p.ConfigRules}
	result, err := cmd.run(ctx, c)
	if result != nil {
		write(stdout, result, cmd.json)
	}
	if err != nil {
		fmt.Fprintln(stderr, "chestnutctl:", err)
	}
	return exitCode(err)
}

// Client executes the commands. Its fields must be set before use.
type Client struct {
	// Log is the platform's log service.
	Log logservice.Log
	// VMs is the platform's VM list, which includes the entries.
	VMs logservice.VMList
	// Publisher is "member" or "member/person".
	Publisher string
	// Timeout bounds the wait for the platform, votes and entries.
	Timeout time.Duration
	// ConfigRules are the rules of check-config, nil if there are none.
	ConfigRules ConfigRules
}

// result is printed by a command, either as lines of text or encoded as JSON.
type result interface {
	text() []string
}

func write(w io.Writer, r result, asJSON bool) {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		_ = enc.Encode(r)
		return
	}
	for _, line := range r.text() {
		fmt.Fprintln(w, line)
	}
}

// UsageError reports that the command line is invalid.
type UsageError struct{ Detail string }

// Error returns the detail.
func (e *UsageError) Error() string { return e.Detail }

// RefusedError reports that the command was refused.
type RefusedError struct{ Detail string }

// Error returns the reason of the refusal.
func (e *RefusedError) Error() string { return "refused: " + e.Detail }

// UnknownError reports that the platform is unreachable or that the outcome of a
// change is not known.
type UnknownError struct {
	// Detail says what is not known and what to do next.
	Detail string
	// Err is the cause, or nil.
	Err error
}

// Error returns the detail and, if there is one, the cause.
func (e *UnknownError) Error() string {
	if e.Err == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

func exitCode(err error) ExitCode {
	var usage *UsageError
	var refused *RefusedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &refused):
		return ExitRefused
	default:
		return ExitUnknown
	}
}
