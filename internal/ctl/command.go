package ctl

import (
	"context"

	"github.com/integrii/flaggy"
)

// command describes one subcommand and its arguments.
type command struct {
	name        string
	description string
	first       string // name of the first positional argument; empty if there is none
	firstHelp   string
	required    bool
	second      string
	secondHelp  string
	options     func(*flaggy.Subcommand, *Options)
	// run returns the output to print. Both the output and the error may be set.
	run func(context.Context, *tool) (output, error)
}

// commands lists all commands in the order in which the help shows them.
var commands = []command{
	{name: "check", description: "Check a file, with --store also the change from the accepted version; or what the store of the users' platform holds.", first: "FILE", firstHelp: "Settings tree.", options: checkOptions, run: runCheck},
	{name: "show", description: "Show effective values with the level that each comes from.", first: "PATH", firstHelp: "DEFAULT, service.NAME[.DOMAIN[.RANGE]], domain.NAME, server.NAME or team.NAME; default: an overview.", options: showOptions, run: runShow},
	{name: "diff", description: "Compare two trees.", first: "FROM", firstHelp: "File or version number.", required: true, second: "TO", secondHelp: "File or version number; default: compare the accepted version with FROM.", options: storeOption, run: runDiff},
	{name: "apply", description: "Make a file the accepted version.", first: "FILE", firstHelp: "Settings tree.", required: true, options: applyOptions, run: runApply},
	{name: "wait", description: "Wait until a version is in effect at all instances.", first: "VERSION", firstHelp: "Version number; default: the accepted version.", options: waitOptions, run: runWait},
	{name: "history", description: "List the accepted versions, the newest first.", options: historyOptions, run: runHistory},
	{name: "explain", description: "Explain what an instance of peridotmoor-entry would decide on a request, without sending it.", options: explainOptions, run: runExplain},
}

func findCommand(name string) *command {
	for i := range commands {
		if commands[i].name == name {
			return &commands[i]
		}
	}
	return nil
}
