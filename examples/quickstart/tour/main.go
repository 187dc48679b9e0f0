// Command tour is the part of the quick start that plans the processes and sends
// them requests: it chooses addresses, fills the stand-in VM list, waits for the
// entries and sends sample requests of each rank.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

// stepTimeout bounds each step of the tour.
const stepTimeout = 30 * time.Second

func main() {
	dir := "."
	steps := []struct {
		name, description string
		run               func(context.Context, string) error
	}{
		{"plan", "choose free ports and write the settings", writePlan},
		{"register", "put all VMs into the stand-in VM list", register},
		{"wait", "wait until every entry is ready", waitForEntries},
		{"send", "send each rank of work and print the outcomes", send},
	}
	flaggy.SetName("tour")
	flaggy.SetDescription("the quick start's calls")
	commands := make([]*flaggy.Subcommand, len(steps))
	for i, s := range steps {
		commands[i] = flaggy.NewSubcommand(s.name)
		commands[i].Description = s.description
		commands[i].String(&dir, "d", "dir", "folder of the plan")
		flaggy.AttachSubcommand(commands[i], 1)
	}
	flaggy.Parse()

	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	for i, s := range steps {
		if !commands[i].Used {
			continue
		}
		if err := s.run(ctx, dir); err != nil {
			fmt.Fprintf(os.Stderr, "tour %s: %v\n", s.name, err)
			os.Exit(1)
		}
		return
	}
	flaggy.ShowHelp("name a step")
	os.Exit(2)
}
