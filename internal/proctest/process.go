package proctest

import (
	"os"
	"os/exec"
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
