// Package daemon wires the parts of an entry together and runs them until the
// process is told to stop.
package daemon

import (
	"context"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"chestnutrouter.example/chestnutrouter/internal/settings"
)

const (
	exitDone   = 0
	exitFailed = 1

	// startTimeout bounds the start; it needs neither platform nor peers.
	startTimeout = 15 * time.Second
	// stopMargin is the time that a shutdown may take beyond its drain.
	stopMargin = 15 * time.Second
)

// Run runs the entry until SIGTERM or an interrupt and returns the exit status.
// The first signal begins a graceful shutdown; a second one ends the process at
// once and logs what is lost.
func Run(s *settings.Settings) int {
	setMemory(s)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)

	var e *Entry
	app := fx.New(Module(s), fx.NopLogger, fx.Populate(&e))
	logger := newLogger(s)
	redirectStandardLog(logger)
	if err := app.Err(); err != nil {
		logger.Error("start failed", "error", err)
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		logger.Error("start failed", "error", err)
		return exitFailed
	}
	<-signals
	return stop(app, e, s, logger, signals)
}

// stop shuts the entry down gracefully, unless a second signal comes.
func stop(app *fx.App, e *Entry, s *settings.Settings, logger *log.Logger, signals <-chan os.Signal) int {
	limit := s.AddressTTL() + s.KeepAlive() + s.DrainLimit() + stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(ctx) }()
	select {
	case err := <-stopped:
		if err != nil {
			logger.Error("shutdown was not clean", "error", err)
			return exitFailed
		}
		logger.Info("stopped")
		return exitDone
	case <-signals:
		logger.Error("stopped by a second signal", "requests_lost", e.parts.Drain.InFlight())
		return exitFailed
	}
}

// redirectStandardLog brings the lines of net/http's transport, which knows no
// other logger, into the JSON lines.
func redirectStandardLog(logger *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer())
}

// newLogger returns a logger of JSON lines on standard error.
func newLogger(s *settings.Settings) *log.Logger {
	logger := log.NewWithOptions(os.Stderr, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	// The level was checked with the settings.
	level, err := log.ParseLevel(s.LogLevel)
	if err == nil {
		logger.SetLevel(level)
	}
	return logger.With("vm", s.VM, "zone", s.Zone)
}
