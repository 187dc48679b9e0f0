package gateway

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"
)

const (
	exitDone   = 0
	exitFailed = 1

	// startTimeout bounds the start, which waits for nothing outside the process.
	startTimeout = 5 * time.Second
)

// Run runs the entry until SIGTERM or an interrupt and returns the exit status.
// SIGHUP says that the settings file has changed: what it holds is read at a
// start only, so the signal is logged and changes nothing.
func Run(s *Settings, adapter *Adapter) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	var e *Entry
	app := fx.New(Module(s, adapter), fx.NopLogger, fx.Populate(&e), fx.StartTimeout(startTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "start failed:", err)
		return exitFailed
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		e.parts.Events.Info("reload", "applied", false, "cause", "the settings hold until a restart")
	}
	ctx, cancel = context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "stop failed:", err)
		return exitFailed
	}
	return exitDone
}
