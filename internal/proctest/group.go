package proctest

import (
	"os/exec"
	"syscall"
)

// OwnGroup makes the command start in a process group of its own. If the shell that started the tests
// ends, the kernel signals the processes in its group as soon as one of them is stopped, and ends
// those that a test has paused.
func OwnGroup(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }
