// Command standin runs a fake backend server, or a fake of the platform's log
// service and VM list, as a process for tests. It is not shipped.
//
// It prints "listening ADDRESS" once it is ready and exits on SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/standin/backend"
	"chestnutrouter.example/chestnutrouter/standin/logservice"
)

const (
	exitFailed = 1
	exitUsage  = 2

	// shutdownGrace is how long requests in progress may still run after SIGTERM.
	shutdownGrace = 5 * time.Second

	defaultListen      = "127.0.0.1:0"
	defaultServiceTime = 10 * time.Millisecond
)

func main() {
	listen := defaultListen
	options := backend.Options{Name: "backend", ServiceTime: defaultServiceTime}

	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins for the tests: a backend server, the platform")
	backendCommand := flaggy.NewSubcommand("backend")
	backendCommand.Description = "serve one backend server"
	backendCommand.String(&listen, "", "listen", "address to listen on")
	backendCommand.String(&options.Name, "", "name", "name in the answers")
	backendCommand.Int(&options.Slots, "", "slots", "requests run at a time (0: 3)")
	backendCommand.Int(&options.QueueLength, "", "queue", "requests that wait (0: 8, negative: none)")
	backendCommand.Duration(&options.ServiceTime, "", "service-time", "time that a request takes")
	flaggy.AttachSubcommand(backendCommand, 1)
	platformCommand := flaggy.NewSubcommand("platform")
	platformCommand.Description = "serve the log service and the VM list"
	platformCommand.String(&listen, "", "listen", "address to listen on")
	flaggy.AttachSubcommand(platformCommand, 1)
	flaggy.Parse()

	var handler http.Handler
	switch {
	case backendCommand.Used:
		handler = backend.New(options)
	case platformCommand.Used:
		handler = logservice.New()
	default:
		flaggy.ShowHelp("name a stand-in")
		os.Exit(exitUsage)
	}
	if err := serve(listen, handler); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitFailed)
	}
}

// serve serves HTTP until SIGTERM or an interrupt, then waits for the requests in
// progress, at most shutdownGrace.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	shutdownDone := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		shutdown(server)
	})
	fmt.Println("listening", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-shutdownDone
	return nil
}

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}
