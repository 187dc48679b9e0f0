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

// bench runs the real chestnutctl against a stand-in platform process.
type bench struct {
	t        *testing.T
	binary   string
	endpoint string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, ".", "../../standin/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return &bench{t: t, binary: filepath.Join(dir, "chestnutctl"), endpoint: startPlatform(t, filepath.Join(dir, "standin"))}
}

// startPlatform starts the stand-in on a free port and stops it after the test.
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
		t.Fatalf("the stand-in's first line is %q", line)
	}
	return "http://" + address
}

// run runs chestnutctl with --json and returns its output and exit code.
func (b *bench) run(publisher string, args ...string) ([]byte, int) {
	args = append([]string{"--json", "--platform", b.endpoint, "--publisher", publisher}, args...)
	cmd := exec.CommandContext(b.t.Context(), b.binary, args...)
	var stdout bytes.Buffer
	cmd.Stdout = &stdout
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		b.t.Error(err)
	}
	return stdout.Bytes(), cmd.ProcessState.ExitCode()
}

func (b *bench) publish(publisher, dir string, args ...string) (ctl.PublishResult, int) {
	out, code := b.run(publisher, append([]string{"publish", dir}, args...)...)
	var r ctl.PublishResult
	if err := json.Unmarshal(out, &r); err != nil {
		b.t.Errorf("%v: %s", err, out)
	}
	return r, code
}

func (b *bench) setTimeout(dir string, ms int) {
	file := filepath.Join(dir, "glazenpot/intake/branch.jsonc")
	content := fmt.Sprintf(`{"hosts": ["intake.glazenpot.example"], "connections_per_server": 250, "slots_per_server": 3,
"routes": [{"path_prefix": "/scans", "rank": "uploads", "upload": true, "max_body_bytes": 1, "timeout_ms": %d}]}`, ms)
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		b.t.Fatal(err)
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

// TestRacingProcessesHaveOneWinner starts two operators' processes at once, 100
// times, on the same branch and revision.
func TestRacingProcessesHaveOneWinner(t *testing.T) {
	b := newBench(t)
	names := []string{"glazenpot/ann", "glazenpot/bob"}
	dirs := []string{copyTree(t), copyTree(t)}
	if _, code := b.publish(names[0], dirs[0]); code != 0 {
		t.Fatalf("founding: exit code %d", code)
	}
	for round := range races {
		base := int64(round + 1)
		codes := make([]int, len(names))
		results := make([]ctl.PublishResult, len(names))
		done := make(chan struct{})
		for i := range names {
			b.setTimeout(dirs[i], 1000+2*round+i)
			go func() {
				results[i], codes[i] = b.publish(names[i], dirs[i], "--branch", "/glazenpot/intake", "--base", fmt.Sprint(base))
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
			t.Fatalf("round %d: exit codes %v", round, codes)
		}
		d := results[loser].Decisions[0]
		if d.Outcome != statemachine.Conflict || d.Winner.Publisher != names[winner] || d.Winner.Revision != base+1 {
			t.Fatalf("round %d: the loser was told %+v", round, d)
		}
	}
}

// TestCutAnswerAppliesOnce hangs up on the publish after the append.
func TestCutAnswerAppliesOnce(t *testing.T) {
	b := newBench(t)
	faults := strings.NewReader(`{"lose_append_answers": 1}`)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, b.endpoint+"/admin/faults", faults)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	r, code := b.publish("glazenpot/ann", copyTree(t))
	if code != 0 || len(r.Decisions) != 1 || r.Decisions[0].Outcome != statemachine.Accepted {
		t.Fatalf("exit code %d, %+v", code, r.Decisions)
	}
	out, _ := b.run("x", "history")
	var h ctl.HistoryResult
	if err := json.Unmarshal(out, &h); err != nil || len(h.Decisions) != 1 {
		t.Errorf("%v: history %s", err, out)
	}
}
