package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// stuck is a writer that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

func (w *stuck) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(p)
}

// A reader of the log that stands still holds nobody up; what was dropped is told.
func TestStuckWriterHoldsNobodyUp(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	l := New(w, log.InfoLevel, "vm", "vm-1")
	began := time.Now()
	for i := range 5 * burstLines {
		l.Info("line", "n", i)
	}
	l.Warn("trouble")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("logging took %v", took)
	}
	close(w.release)
	l.Close()
	l.Info("after the end")
	lines := strings.Split(strings.TrimSpace(w.lines.String()), "\n")
	if len(lines) > 2*burstLines {
		t.Errorf("%d lines written", len(lines))
	}
	var last struct {
		Msg, VM string
		Dropped int `json:"lines_dropped"`
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil {
		t.Fatal(err)
	}
	if last.Msg != "trouble" || last.VM != "vm-1" || last.Dropped == 0 {
		t.Errorf("the last line is %s", lines[len(lines)-1])
	}
}

func TestNilLogger(t *testing.T) {
	var l *Logger
	l.Info("nothing")
	l.Warn("nothing")
	l.Close()
}
