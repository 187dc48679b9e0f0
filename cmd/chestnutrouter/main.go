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
	flaggy.Parse()
	if file == "" {
		fmt.Fprintln(os.Stderr, "name the settings file: chestnutrouter --settings FILE")
		os.Exit(exitUsage)
	}
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitRefused)
	}
	if checkOnly {
		fmt.Println(file + ": ok")
		return
	}
	os.Exit(daemon.Run(s))
}
