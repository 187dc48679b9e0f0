// Package proctest runs entries as processes next to in-process stand-ins, for
// tests and measurements on loopback. It signals only processes that it started
// itself, each by its own handle.
package proctest

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
)

const modulePath = "chestnutrouter.example/chestnutrouter"

// Binaries holds the paths of the built programs.
type Binaries struct {
	// Router is the path of chestnutrouter.
	Router string
	// Ctl is the path of chestnutctl.
	Ctl string
	// Standin is the path of the program that serves the stand-ins; it is not shipped.
	Standin string
}

// Build builds the programs into a directory.
func Build(ctx context.Context, dir string) (Binaries, error) {
	b := Binaries{
		Router:  filepath.Join(dir, "chestnutrouter"),
		Ctl:     filepath.Join(dir, "chestnutctl"),
		Standin: filepath.Join(dir, "standin"),
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir,
		modulePath+"/cmd/chestnutrouter", modulePath+"/cmd/chestnutctl", modulePath+"/standin/cmd/standin")
	output, err := cmd.CombinedOutput()
	if err != nil {
		return b, fmt.Errorf("build: %w\n%s", err, output)
	}
	return b, nil
}
