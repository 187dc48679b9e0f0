package gateway

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"
)

const (
	exitDone   = 0
	exitFailed = 1

	// startTimeout bounds the start. The start does not wait for other processes.
	startTimeout = 5 * time.Second
)

// Run runs the entry until SIGTERM or an interrupt and returns the exit status. SIGHUP
// is only logged: it signals a change of the settings file, which is read only at the
// start.
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
	// net/http's transport writes to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(warnWriter{e.params.Events})
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		e.params.Events.Info("reload", "applied", false, "cause", "settings are read only at the start")
	}
	ctx, cancel = context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "stop failed:", err)
		return exitFailed
	}
	return exitDone
}
