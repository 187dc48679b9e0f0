package main

import (
	"fmt"
	"os"

	"chestnutrouter.example/chestnutrouter/internal/gateway"
	"chestnutrouter.example/chestnutrouter/platform"
)

// runGateway runs on the users' platform. The settings file is the platform's,
// named by the environment unless it is given.
func runGateway(file string, checkOnly bool) int {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		fmt.Fprintln(os.Stderr, "name the settings file: set "+platform.SettingsVariable+" or use --settings FILE")
		return exitUsage
	}
	s, err := platform.Load(file)
	return checked(file, err, checkOnly, func() int {
		return gateway.Run(&s.Settings, platform.NewAdapter(s))
	})
}
