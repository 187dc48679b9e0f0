package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/ctl"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

const races = 100

// harness runs the chestnutctl binary against a stand-in platform process.
type harness struct {
	t        *testing.T
	binary   string
	endpoint string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, ".", "../../standin/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return &harness{t: t, binary: filepath.Join(dir, "chestnutctl"), endpoint: startPlatform(t, filepath.Join(dir, "standin"))}
}

// startPlatform starts the stand-in platform on a free port and returns its base
// URL. The process is stopped after the test.
func startPlatform(t *testing.T, binary string) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cmd := exec.CommandContext(ctx, binary, "platform")
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if !ok {
		t.Fatalf("the stand-in's first line is %q, want its address after \"listening\"", line)
	}
	return "http://" + address
}

// run runs chestnutctl with --json and returns its output and exit code.
func (h *harness) run(publisher string, args ...string) ([]byte, int) {
	args = append([]string{"--json", "--platform", h.endpoint, "--publisher", publisher}, args...)
	cmd := exec.CommandContext(h.t.Context(), h.binary, args...)
	var stdout bytes.Buffer
	cmd.Stdout = &stdout
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		h.t.Error(err)
	}
	return stdout.Bytes(), cmd.ProcessState.ExitCode()
}

func (h *harness) publish(publisher, dir string, args ...string) (ctl.PublishResult, int) {
	out, code := h.run(publisher, append([]string{"publish", dir}, args...)...)
	var r ctl.PublishResult
	if err := json.Unmarshal(out, &r); err != nil {
		h.t.Errorf("decode the result of publish: %v: %s", err, out)
	}
	return r, code
}

func (h *harness) setTimeout(dir string, ms int) {
	file := filepath.Join(dir, "glazenpot/intake/branch.jsonc")
	content := fmt.Sprintf(`{"hosts": ["intake.glazenpot.example"], "connections_per_server": 250, "slots_per_server": 3,
"routes": [{"path_prefix": "/scans", "rank": "uploads", "upload": true, "max_body_bytes": 1, "timeout_ms": %d}]}`, ms)
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		h.t.Fatal(err)
	}
}

func copyTree(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "tree")
	if err := os.CopyFS(dir, os.DirFS("../../examples/tree")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestRacingProcessesHaveOneWinner has two chestnutctl processes publish the same
// branch from the same revision concurrently, 100 times. Each time, exactly one may
// succeed.
func TestRacingProcessesHaveOneWinner(t *testing.T) {
	h := newHarness(t)
	names := []string{"glazenpot/ann", "glazenpot/bob"}
	dirs := []string{copyTree(t), copyTree(t)}
	if _, code := h.publish(names[0], dirs[0]); code != 0 {
		t.Fatalf("initial publish: exit code %d, want 0", code)
	}
	for round := range races {
		base := int64(round + 1)
		codes := make([]int, len(names))
		results := make([]ctl.PublishResult, len(names))
		done := make(chan struct{})
		for i := range names {
			h.setTimeout(dirs[i], 1000+2*round+i)
			go func() {
				results[i], codes[i] = h.publish(names[i], dirs[i], "--branch", "/glazenpot/intake", "--base", fmt.Sprint(base))
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		winner := 0
		if codes[1] == 0 {
			winner = 1
		}
		loser := 1 - winner
		if codes[winner] != 0 || codes[loser] != 1 {
			t.Fatalf("round %d: exit codes %v, want one 0 and one 1", round, codes)
		}
		d := results[loser].Decisions[0]
		if d.Outcome != statemachine.Conflict || d.Winner.Publisher != names[winner] || d.Winner.Revision != base+1 {
			t.Fatalf("round %d: the loser got decision %+v, want a conflict with the winner's revision", round, d)
		}
	}
}

// TestCutAnswerAppliesOnce has the platform close the connection after an append
// without a response. The publish must succeed with a single record in the log.
func TestCutAnswerAppliesOnce(t *testing.T) {
	h := newHarness(t)
	faults := strings.NewReader(`{"lose_append_answers": 1}`)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, h.endpoint+"/admin/faults", faults)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	r, code := h.publish("glazenpot/ann", copyTree(t))
	if code != 0 || len(r.Decisions) != 1 || r.Decisions[0].Outcome != statemachine.Accepted {
		t.Fatalf("exit code %d, decisions %+v, want 0 and one accepted", code, r.Decisions)
	}
	out, _ := h.run("x", "history")
	var history ctl.HistoryResult
	if err := json.Unmarshal(out, &history); err != nil || len(history.Decisions) != 1 {
		t.Errorf("error %v, want one decision in the history: %s", err, out)
	}
}
