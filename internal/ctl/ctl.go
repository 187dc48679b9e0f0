// Package ctl is the code of chestnutctl: operators check a directory of
// branches, publish what differs from what is in force, approve proposals and
// look at the state in force.
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
	// ExitOK: the command did what was asked.
	ExitOK ExitCode = 0
	// ExitRefused: the change is invalid, in conflict or did not pass.
	ExitRefused ExitCode = 1
	// ExitUsage: the command line is wrong.
	ExitUsage ExitCode = 2
	// ExitUnknown: the platform is unreachable or the outcome is not known.
	ExitUnknown ExitCode = 3
)

// pollInterval is the pause between two looks at the log or at an entry.
const pollInterval = 200 * time.Millisecond

// Main runs chestnutctl with its arguments and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	cmd, err := parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "chestnutctl:", err)
		return codeOf(err)
	}
	client := logservice.NewClient(cmd.endpoints, logservice.Options{ClientName: "chestnutctl"})
	defer client.Close()
	c := &Client{Log: client, VMs: client, Publisher: cmd.publisher, Timeout: cmd.timeout}
	result, err := cmd.run(ctx, c)
	if result != nil {
		write(stdout, result, cmd.json)
	}
	if err != nil {
		fmt.Fprintln(stderr, "chestnutctl:", err)
	}
	return codeOf(err)
}

// Client carries out the commands. Its fields are set before use.
type Client struct {
	// Log is the platform's log service.
	Log logservice.Log
	// VMs is the platform's VM list, which names the entries.
	VMs logservice.VMList
	// Publisher is "member" or "member/person".
	Publisher string
	// Timeout bounds the wait for the platform, votes and entries.
	Timeout time.Duration
}

// result is what a command prints: lines of text, or itself as JSON.
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

// UsageError tells that the command line is wrong.
type UsageError struct{ Detail string }

// Error says what is wrong.
func (e *UsageError) Error() string { return e.Detail }

// RefusedError tells that the command was refused.
type RefusedError struct{ Detail string }

// Error says why.
func (e *RefusedError) Error() string { return "refused: " + e.Detail }

// UnknownError tells that the platform is unreachable or that the outcome of a
// change is not known.
type UnknownError struct {
	// Detail says what is not known and what to do next.
	Detail string
	// Err is the cause, if there is one.
	Err error
}

// Error returns the detail and the cause.
func (e *UnknownError) Error() string {
	if e.Err == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

func codeOf(err error) ExitCode {
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
