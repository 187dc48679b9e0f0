// Package daemon constructs the parts of an entry and runs them until the process
// receives a stop signal.
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
	exitOK     = 0
	exitFailed = 1

	// startTimeout bounds the start, which needs neither the platform nor peers.
	startTimeout = 15 * time.Second
	// stopMargin is the time that a shutdown may take in addition to its drain.
	stopMargin = 15 * time.Second
)

// Run runs the entry until SIGTERM or an interrupt and returns the exit status.
// The first signal starts a graceful shutdown; a second one ends the process
// immediately and logs the number of lost requests.
func Run(s *settings.Settings) int {
	configureGC(s)
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
		return exitOK
	case <-signals:
		logger.Error("stopped by a second signal", "requests_lost", e.params.Drainer.InFlight())
		return exitFailed
	}
}

// redirectStandardLog redirects the standard logger to the JSON log: net/http's
// transport cannot be given another logger.
func redirectStandardLog(logger *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer())
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(s *settings.Settings) *log.Logger {
	logger := log.NewWithOptions(os.Stderr, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	// The level was validated with the settings.
	level, err := log.ParseLevel(s.LogLevel)
	if err == nil {
		logger.SetLevel(level)
	}
	return logger.With("vm", s.VM, "zone", s.Zone)
}
