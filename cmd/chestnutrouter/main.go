// Command chestnutrouter is the load balancer's daemon. One process, called an entry,
// runs on each entry VM.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/internal/daemon"
	"chestnutrouter.example/chestnutrouter/internal/settings"
)

const (
	exitInvalidSettings = 1
	exitUsage           = 2
)

func main() {
	var file string
	var checkOnly bool
	flaggy.SetName("chestnutrouter")
	flaggy.SetDescription("the entry daemon of a load balancer for backend servers whose load shifts in milliseconds")
	flaggy.String(&file, "s", "settings", "settings file, JSON with comments")
	flaggy.Bool(&checkOnly, "", "check", "check the settings file and exit")
	gateway := flaggy.NewSubcommand("gateway")
	gateway.Description = "run on the users' platform, with the platform's settings file"
	flaggy.AttachSubcommand(gateway, 1)
	flaggy.Parse()
	if gateway.Used {
		os.Exit(runGateway(file, checkOnly))
	}
	os.Exit(runDaemon(file, checkOnly))
}

// runDaemon runs the entry with chestnutrouter's own settings file and platform.
func runDaemon(file string, checkOnly bool) int {
	if file == "" {
		fmt.Fprintln(os.Stderr, "name the settings file: chestnutrouter --settings FILE")
		return exitUsage
	}
	s, err := settings.Load(file)
	return runOrCheck(file, err, checkOnly, func() int { return daemon.Run(s) })
}

// runOrCheck prints the errors of the settings file, or calls run unless checkOnly is
// set. It returns the exit status.
func runOrCheck(file string, err error, checkOnly bool, run func() int) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if checkOnly {
		fmt.Println(file + ": ok")
		return 0
	}
	return run()
}
