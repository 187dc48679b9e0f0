package proctest

import (
	"bufio"
	"fmt"
	"os/exec"
	"strings"
	"syscall"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// readyPrefix is the start of the line that a stand-in prints when it is ready.
const readyPrefix = "listening "

// ServerProcess is a stand-in backend server in a separate process.
type ServerProcess struct {
	// VM is the server's row of the VM list.
	VM  fleet.VM
	cmd *exec.Cmd
}

// StartServerProcess starts a stand-in backend server in a separate process and adds
// it to the VM list. Kill or Stop must end it.
func (f *Fleet) StartServerProcess(name, zone, service string) (*ServerProcess, error) {
	cmd := exec.Command(f.binaries.Standin, "backend", "--name", name)
	OwnGroup(cmd)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s := &ServerProcess{cmd: cmd}
	line, err := bufio.NewReader(out).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), readyPrefix)
	if err != nil || !ok {
		s.Kill()
		return nil, fmt.Errorf("server %s printed %q in place of its address: %w", name, line, err)
	}
	s.VM = fleet.VM{Name: name, Address: address, Zone: zone, Service: service, State: fleet.Live}
	f.PutVM(s.VM)
	return s, nil
}

// Pause suspends the process until Resume. When it returns, the process is suspended.
func (s *ServerProcess) Pause() error { return pause(s.cmd.Process) }

// Resume lets a paused process continue.
func (s *ServerProcess) Resume() error { return s.cmd.Process.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for its end.
func (s *ServerProcess) Kill() { s.terminate(syscall.SIGKILL) }

// Stop lets the server finish its requests in progress and waits for its end.
func (s *ServerProcess) Stop() { s.terminate(syscall.SIGTERM) }

func (s *ServerProcess) terminate(signal syscall.Signal) {
	// Both fail only if the process has already ended: Signal, and a second Wait.
	_ = s.cmd.Process.Signal(signal)
	_ = s.cmd.Wait()
}
