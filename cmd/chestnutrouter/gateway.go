package main

import (
	"fmt"
	"os"

	"chestnutrouter.example/chestnutrouter/internal/gateway"
	"chestnutrouter.example/chestnutrouter/platform"
)

// runGateway runs the entry on the users' platform with the platform's settings file.
// Without the option, an environment variable holds the path of the file.
func runGateway(file string, checkOnly bool) int {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	if file == "" {
		fmt.Fprintln(os.Stderr, "name the settings file: set "+platform.SettingsVariable+" or use --settings FILE")
		return exitUsage
	}
	s, err := platform.Load(file)
	return runOrCheck(file, err, checkOnly, func() int {
		return gateway.Run(&s.Settings, platform.NewAdapter(s))
	})
}
