// Command standinplatform serves the stand-in log service and VM list.
// It prints its base URL as the first line and runs until it is interrupted.
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

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/standin/platform"
)

func main() {
	listen := "127.0.0.1:0"
	flaggy.SetName("standinplatform")
	flaggy.SetDescription("stand-in log service and VM list for tests")
	flaggy.String(&listen, "l", "listen", "address to serve on; port 0 picks a free one")
	flaggy.Parse()
	if err := serve(listen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Printf("http://%s\n", l.Addr())
	server := &http.Server{Handler: platform.New()}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
