// Command control measures the cost of the control plane (CPU time, memory and network
// traffic) and how fast a configuration takes effect. It runs the follower and the
// membership of each entry, or the complete daemon, as a separate process on loopback
// with a stand-in platform, and prints a table.
//
//	go run ./bench/control --measure latency --nodes 3,19 --daemons
//	go run ./bench/control --measure cost --nodes 13,19,60
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
)

// options are the flags of the command.
type options struct {
	measure string
	nodes   []int
	appends int
	seconds int
	servers int
	plain   bool
	daemons bool
	tree    string
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == nodeArgument {
		exit(runNode(os.Stdin, os.Stdout))
	}
	opts := options{measure: "latency", appends: 100, seconds: 120, servers: 770, tree: "examples/tree"}
	nodes, asJSON := "3,19", false
	flaggy.SetName("control")
	flaggy.SetDescription("cost of control and time until a configuration is in force")
	flaggy.String(&opts.measure, "", "measure", "latency or cost")
	flaggy.String(&nodes, "", "nodes", "numbers of entry processes, with commas")
	flaggy.Int(&opts.appends, "", "appends", "measured appends of each latency run")
	flaggy.Int(&opts.seconds, "", "seconds", "measured seconds of each cost run")
	flaggy.Int(&opts.servers, "", "servers", "backend servers in the VM list")
	flaggy.Bool(&opts.plain, "", "plain", "a platform that sends the VM list whole each time")
	flaggy.Bool(&opts.daemons, "", "daemons", "measure latency with whole daemons")
	flaggy.String(&opts.tree, "", "tree", "directory of the published tree")
	flaggy.Bool(&asJSON, "", "json", "print JSON in place of text")
	flaggy.Parse()
	for _, text := range strings.Split(nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			fmt.Fprintln(os.Stderr, "--nodes takes numbers with commas")
			os.Exit(2)
		}
		opts.nodes = append(opts.nodes, n)
	}
	exit(measure(opts, asJSON))
}

func measure(opts options, asJSON bool) error {
	var rows []resultRow
	for _, n := range opts.nodes {
		got, err := measureOne(opts, n)
		if err != nil {
			return err
		}
		rows = append(rows, got...)
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return printRows(os.Stdout, rows)
}

func measureOne(opts options, n int) ([]resultRow, error) {
	if opts.measure == "cost" {
		return measureCostOf(opts, n)
	}
	c, err := startCluster(opts, n)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	p := newPublisher(c.url())
	if err := p.publishInitialTree(opts.tree); err != nil {
		return nil, err
	}
	connected, err := measureLatency("log up", opts.appends, p, c)
	if err != nil {
		return nil, err
	}
	c.partitionHalf()
	partitioned, err := measureLatency("log cut from half", opts.appends, p, c)
	return []resultRow{connected, partitioned}, err
}

func measureCostOf(opts options, n int) ([]resultRow, error) {
	f, err := startNodes(opts, n)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	p := newPublisher(f.url())
	if err := p.publishInitialTree(opts.tree); err != nil {
		return nil, err
	}
	r, err := f.measureCost(p)
	return []resultRow{r}, err
}

func startCluster(opts options, n int) (cluster, error) {
	if opts.daemons {
		return startDaemons(n)
	}
	return startNodes(opts, n)
}

// nodeCommand returns the command of one entry process.
func nodeCommand() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return exec.Command(self, nodeArgument), nil
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}
