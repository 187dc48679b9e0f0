package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// OwnGroup makes the command start in a process group of its own. If the shell that started the tests
// ends, the kernel signals the processes in its group as soon as one of them is stopped, and ends
// those that a test has paused.
func OwnGroup(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }

// pause suspends a child process and waits until all its threads are stopped. Some of them
// run on for a while after the signal is sent.
func pause(p *os.Process) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		err := unix.Waitid(unix.P_PID, p.Pid, nil, unix.WSTOPPED, nil)
		if err != unix.EINTR {
			return os.NewSyscallError("waitid", err)
		}
	}
}

// Command returns a command whose process may have that many open descriptors; zero means as many as
// this one.
func Command(descriptors int64, program string, args ...string) *exec.Cmd {
	if descriptors == 0 {
		return exec.Command(program, args...)
	}
	// The shell becomes the program, which keeps its process id.
	script := `ulimit -n "$0" && exec "$@"`
	return exec.Command("sh", append([]string{"-c", script, strconv.FormatInt(descriptors, 10), program}, args...)...)
}

// PeakMemory returns the most physical memory in bytes that a process has had at once.
func PeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d: no VmHWM", pid)
}

// OpenDescriptors returns the number of descriptors that a process has open.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
