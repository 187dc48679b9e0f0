package proctest

import (
	"bufio"
	"fmt"
	"os/exec"
	"strings"
	"syscall"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// readyLine starts the line that a stand-in prints when it is ready.
const readyLine = "listening "

// ServerProcess is a stand-in backend server as a process of its own.
type ServerProcess struct {
	// VM is the server's row of the VM list.
	VM  fleet.VM
	cmd *exec.Cmd
}

// StartServerProcess starts a stand-in backend server as a process and puts it into the
// VM list. End it with Kill or Stop.
func (f *Fleet) StartServerProcess(name, zone, service string) (*ServerProcess, error) {
	cmd := exec.Command(f.binaries.Standin, "backend", "--name", name)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s := &ServerProcess{cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), readyLine)
	if err != nil || !ok {
		s.Kill()
		return nil, fmt.Errorf("server %s said %q: %w", name, line, err)
	}
	s.VM = fleet.VM{Name: name, Address: address, Zone: zone, Service: service, State: fleet.Live}
	f.PutVM(s.VM)
	return s, nil
}

// Pause stops the process from running until Resume.
func (s *ServerProcess) Pause() error { return s.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process run on.
func (s *ServerProcess) Resume() error { return s.cmd.Process.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (s *ServerProcess) Kill() { s.end(syscall.SIGKILL) }

// Stop has the server finish its requests and waits for its end.
func (s *ServerProcess) Stop() { s.end(syscall.SIGTERM) }

func (s *ServerProcess) end(signal syscall.Signal) {
	// Signalling a process that has ended only says so, and so does a second Wait.
	_ = s.cmd.Process.Signal(signal)
	_ = s.cmd.Wait()
}
