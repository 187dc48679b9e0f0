// Command chestnutctl checks, publishes, approves and shows the settings tree that
// the members of a co-operative share, and checks configurations for the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"

	"chestnutrouter.example/chestnutrouter/internal/ctl"
	"chestnutrouter.example/chestnutrouter/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Program{ConfigRules: platform.CheckConfig}.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
