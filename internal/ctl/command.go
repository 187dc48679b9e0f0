package ctl

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// platformVariable is the environment variable with the default of --platform.
	platformVariable = "CHESTNUT_PLATFORM"
	// publisherVariable is the environment variable with the default of --publisher.
	publisherVariable = "CHESTNUT_PUBLISHER"
	// defaultTimeout is the default of --timeout.
	defaultTimeout = 30 * time.Second
)

// command is a parsed command line.
type command struct {
	name      string
	argument  string
	endpoints []string
	publisher string
	branch    string
	directory string
	base      int64
	timeout   time.Duration
	json      bool
	wait      bool
	dryRun    bool
	remove    bool
	inForce   string
	traffic   TrafficOptions
}

// parse parses the command line. On an unknown flag, flaggy prints the help and
// exits the process with code 2.
func parse(args []string) (*command, error) {
	cmd := &command{base: -1, timeout: defaultTimeout}
	endpoints := os.Getenv(platformVariable)
	cmd.publisher = os.Getenv(publisherVariable)

	parser := flaggy.NewParser("chestnutctl")
	parser.Description = "Check, publish, approve and show the tree of settings."
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	parser.String(&endpoints, "p", "platform", "base URLs of the platform, comma separated; default $"+platformVariable)
	parser.String(&cmd.publisher, "u", "publisher", "member or member/person; default $"+publisherVariable)
	parser.Duration(&cmd.timeout, "t", "timeout", "longest wait for the platform, votes and entries")
	parser.Bool(&cmd.json, "j", "json", "print JSON")
	subcommands := cmd.attach(parser)
	if err := parser.ParseArgs(args); err != nil {
		return nil, &UsageError{Detail: err.Error()}
	}
	for _, sub := range subcommands {
		if sub.Used {
			cmd.name = sub.Name
		}
	}
	cmd.endpoints = strings.FieldsFunc(endpoints, func(r rune) bool { return r == ',' })
	return cmd, cmd.validate()
}

// attach adds the subcommands with their arguments and flags to the parser.
func (cmd *command) attach(parser *flaggy.Parser) []*flaggy.Subcommand {
	check := subcommand("check", "check a directory or a file and print every finding")
	check.AddPositionalValue(&cmd.argument, "path", 1, true, "directory of branches, or one file")
	check.String(&cmd.branch, "b", "branch", "check the file as the document of this branch")

	checkConfig := subcommand("check-config", "check a configuration for the users' platform before it is written to the store")
	checkConfig.AddPositionalValue(&cmd.argument, "file", 1, true, "value of the configuration's record, as JSON")
	checkConfig.String(&cmd.inForce, "", "in-force", "file with the version in force, to compare with")

	publish := subcommand("publish", "publish what differs from what is in force")
	publish.AddPositionalValue(&cmd.argument, "directory", 1, true, "directory of branches")
	publish.String(&cmd.branch, "b", "branch", "publish this branch only")
	publish.Int64(&cmd.base, "", "base", "revision of --branch that the change was made from")
	publish.Bool(&cmd.wait, "w", "wait", "wait until votes passed and live entries report the offset")
	publish.Bool(&cmd.dryRun, "n", "dry-run", "show the difference and publish nothing")
	publish.Bool(&cmd.remove, "", "remove", "also remove branches that the directory lacks")

	approve := subcommand("approve", "approve a proposal for the publisher's member")
	approve.AddPositionalValue(&cmd.argument, "proposal", 1, true, "id of the proposal, such as p17")
	approve.String(&cmd.directory, "d", "directory", "also write the approval to this directory of branches")
	approve.Bool(&cmd.wait, "w", "wait", "wait until live entries report the offset")

	show := subcommand("show", "show what is in force and which proposals are pending")
	show.String(&cmd.branch, "b", "branch", "show the content of this branch")

	history := subcommand("history", "show what became of each record that the log keeps")
	history.String(&cmd.branch, "b", "branch", "only records of this branch")

	status := subcommand("status", "show what entries report")
	status.AddPositionalValue(&cmd.argument, "address", 1, false, "status address of one entry; default all live ones")

	traffic := subcommand("traffic", "show which backend servers entries on the users' platform send a route's requests to")
	traffic.AddPositionalValue(&cmd.argument, "addresses", 1, true, "metrics addresses of entries, comma separated")
	traffic.String(&cmd.traffic.Host, "", "host", "host of the route; default all services")
	traffic.String(&cmd.traffic.Path, "", "path", "path of the route")
	traffic.String(&cmd.traffic.Method, "m", "method", "method of the route; default GET")

	all := []*flaggy.Subcommand{check, checkConfig, publish, approve, show, history, status, traffic}
	for _, sub := range all {
		parser.AttachSubcommand(sub, 1)
	}
	return all
}

func subcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

// validate checks what the parser doesn't: the values of arguments and flags, and
// which of them the command needs.
func (cmd *command) validate() error {
	if cmd.name == "" {
		return &UsageError{Detail: "name a command: check, check-config, publish, approve, show, history, status or traffic"}
	}
	if cmd.branch != "" {
		if _, err := tree.ParseBranch(cmd.branch); err != nil {
			return &UsageError{Detail: err.Error()}
		}
	}
	if cmd.base >= 0 && cmd.branch == "" {
		return &UsageError{Detail: "--base needs --branch"}
	}
	if cmd.name == "publish" || cmd.name == "approve" {
		if err := statemachine.CheckPublisher(cmd.publisher); err != nil {
			return &UsageError{Detail: "--publisher: " + err.Error()}
		}
	}
	if cmd.traffic.Path != "" && cmd.traffic.Host == "" {
		return &UsageError{Detail: "--path needs --host"}
	}
	isLocal := cmd.name == "check" || cmd.name == "check-config"
	needsPlatform := !isLocal && cmd.name != "traffic" && (cmd.name != "status" || cmd.argument == "")
	if needsPlatform && len(cmd.endpoints) == 0 {
		return &UsageError{Detail: "name the platform with --platform or $" + platformVariable}
	}
	return nil
}

func (cmd *command) run(ctx context.Context, c *Client) (result, error) {
	branch := tree.Branch(cmd.branch)
	switch cmd.name {
	case "check":
		return printable(Check(cmd.argument, branch))
	case "check-config":
		return printable(CheckConfig(c.ConfigRules, cmd.argument, cmd.inForce))
	case "publish":
		return printable(c.Publish(ctx, PublishOptions{
			Directory: cmd.argument,
			Branch:    branch,
			Base:      cmd.base,
			Wait:      cmd.wait,
			DryRun:    cmd.dryRun,
			Remove:    cmd.remove,
		}))
	case "approve":
		return printable(c.Approve(ctx, cmd.argument, cmd.directory, cmd.wait))
	case "show":
		return printable(c.Show(ctx, branch))
	case "history":
		return printable(c.History(ctx, branch))
	case "traffic":
		cmd.traffic.Addresses = strings.Split(cmd.argument, ",")
		return printable(Traffic(ctx, cmd.traffic))
	default:
		return printable(c.Status(ctx, cmd.argument))
	}
}

// printable converts a nil pointer to a nil interface, so that the caller can
// compare the result with nil.
func printable[T any, P interface {
	*T
	result
}](r P, err error) (result, error) {
	if r == nil {
		return nil, err
	}
	return r, err
}
