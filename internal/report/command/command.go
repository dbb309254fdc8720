package command

import (
	"github.com/integrii/flaggy"
)

// command describes one subcommand.
type command struct {
	name           string
	description    string
	positional     string // name of the first positional value, empty for none
	positionalHelp string
	flags          func(*flaggy.Subcommand, *options)
	run            func(*tool) error
}

// commands lists all subcommands in the order of the help text.
var commands = []command{
	{name: "request", description: "Tell what happened to one request, with the proof of its outcome.",
		positional: "ID", positionalHelp: "Request ID; the record FILES follow.", run: runRequest},
	{name: "verify", description: "Check the records against what the callers saw and the backend servers ran.",
		flags: verifyFlags, run: runVerify},
	{name: "summary", description: "Count outcomes and latencies by service and hour.", flags: windowFlags, run: runSummary},
	{name: "unanswered", description: "List every request that may have run without its caller getting the answer.", flags: windowFlags, run: runUnanswered},
	{name: "domain", description: "Tell how a failure domain was taken out and brought back.",
		positional: "NAME", positionalHelp: "Failure domain; the record FILES follow.", run: runDomain},
	{name: "call", description: "Tell from the logs of peridotmoor-entry how one call ended, and why.",
		positional: "ID", positionalHelp: "ID of the call; the log FILES follow.", run: runCall},
	{name: "calls", description: "Count from the logs of peridotmoor-entry how calls ended.", run: runCalls},
	{name: "owners", description: "Tell from the logs of peridotmoor-entry who granted a key to which server, and whether two had it.",
		positional: "SERVICE:KEY", positionalHelp: "Service and number of the key; the log FILES follow.", run: runOwners},
	{name: "html", description: "Write one page with plots for a board.", flags: htmlFlags, run: runHTML},
}

func (c command) newSubcommand(o *options) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(c.name)
	sub.Description = c.description
	sub.Bool(&o.JSON, "j", "json", "Print JSON.")
	if c.positional != "" {
		sub.AddPositionalValue(&o.Positional, c.positional, 1, true, c.positionalHelp)
	}
	if c.flags != nil {
		c.flags(sub, o)
	}
	return sub
}

func verifyFlags(sub *flaggy.Subcommand, o *options) {
	sub.String(&o.RunLog, "r", "runlog", "Run log of the backend servers (JSON).")
	sub.String(&o.Callers, "c", "callers", "Records of the callers (JSON).")
}

func windowFlags(sub *flaggy.Subcommand, o *options) {
	sub.String(&o.From, "", "from", "Only requests that arrived at this time or later, such as 2026-12-04T10:00:00Z.")
	sub.String(&o.To, "", "to", "Only requests that arrived before this time.")
}

func htmlFlags(sub *flaggy.Subcommand, o *options) {
	windowFlags(sub, o)
	sub.String(&o.Output, "o", "output", "File to write; default: standard output.")
}
