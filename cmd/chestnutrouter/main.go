// Command chestnutrouter is the entry daemon: one runs on each entry VM.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/internal/daemon"
	"chestnutrouter.example/chestnutrouter/internal/settings"
)

const (
	exitRefused = 1
	exitUsage   = 2
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

// runDaemon runs with the product's own settings and platform.
func runDaemon(file string, checkOnly bool) int {
	if file == "" {
		fmt.Fprintln(os.Stderr, "name the settings file: chestnutrouter --settings FILE")
		return exitUsage
	}
	s, err := settings.Load(file)
	return checked(file, err, checkOnly, func() int { return daemon.Run(s) })
}

// checked tells what is wrong with the settings file, or runs unless they were
// only to be checked.
func checked(file string, err error, checkOnly bool, run func() int) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
	if checkOnly {
		fmt.Println(file + ": ok")
		return 0
	}
	return run()
}
