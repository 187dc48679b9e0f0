// Command chestnutctl checks, publishes, approves and shows the settings tree that
// the members of a co-operative share.
package main

import (
	"context"
	"os"
	"os/signal"

	"chestnutrouter.example/chestnutrouter/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
