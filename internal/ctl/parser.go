package ctl

import (
	"github.com/integrii/flaggy"
)

// Version is printed by --version. The build sets it.
var Version = "development"

const description = "Checks, shows, compares and applies the settings tree of peridotmoor.\n\n" +
	"Exit codes: 0 done, 1 refused or different, 2 wrong arguments, 3 lost a race,\n" +
	"4 store or instance not reached, 5 uncertain, 6 not in effect everywhere in time."

// newParser declares all commands. ParseArgs of the parser fills the options.
func newParser(o *Options) *flaggy.Parser {
	p := flaggy.NewParser("peridotmoorctl")
	p.Description = description
	p.Version = Version
	p.AdditionalHelpAppend = "Pages: docs/settings.md and docs/operators/. Completion: peridotmoorctl completion bash"
	p.ShowHelpOnUnexpected = true
	for _, c := range commands {
		p.AttachSubcommand(c.declare(o), 1)
	}
	return p
}

// declare returns the subcommand with its arguments.
func (c command) declare(o *Options) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(c.name)
	s.Description = c.description
	s.Bool(&o.JSON, "j", "json", "Print JSON.")
	if c.first != "" {
		s.AddPositionalValue(&o.First, c.first, 1, c.required, c.firstHelp)
	}
	if c.second != "" {
		s.AddPositionalValue(&o.Second, c.second, 2, false, c.secondHelp)
	}
	if c.options != nil {
		c.options(s, o)
	}
	return s
}

func storeOption(s *flaggy.Subcommand, o *Options) {
	s.String(&o.Store, "s", "store", "Base URL of the platform's store (PERIDOTMOOR_STORE).")
}

func checkOptions(s *flaggy.Subcommand, o *Options) {
	storeOption(s, o)
	s.String(&o.Platform, "", "platform", "Address (host:port) of the store of the users' platform: check what peridotmoor-entry reads there, instead of FILE.")
}

func instancesOption(s *flaggy.Subcommand, o *Options) {
	s.String(&o.Instances, "i", "instances", "Operators' endpoints of all instances, host:port separated by commas (PERIDOTMOOR_INSTANCES).")
}

func showOptions(s *flaggy.Subcommand, o *Options) {
	storeOption(s, o)
	s.String(&o.File, "f", "file", "Read this file instead of the store.")
	s.Int(&o.Version, "n", "number", "Show this version instead of the accepted one.")
	s.String(&o.Key, "k", "key", "Show the key range that holds this key (PATH service.NAME.DOMAIN).")
	s.Bool(&o.Text, "t", "text", "Print the text, headed by the version that apply takes as parent.")
}

func applyOptions(s *flaggy.Subcommand, o *Options) {
	storeOption(s, o)
	instancesOption(s, o)
	s.String(&o.Author, "a", "author", "Who applies it (USER).")
	s.Int(&o.Parent, "p", "parent", "Version that FILE was built on, 0 for the first; default: the first line of FILE.")
	s.Bool(&o.NoInstances, "", "no-instances", "No instance runs yet, so none can be asked for the version in effect.")
	s.Bool(&o.Wait, "w", "wait", "Wait until the version is in effect at all instances.")
	withinOption(s, o)
}

func withinOption(s *flaggy.Subcommand, o *Options) {
	s.Duration(&o.WaitTimeout, "", "within", "Longest wait.")
}

func waitOptions(s *flaggy.Subcommand, o *Options) {
	storeOption(s, o)
	instancesOption(s, o)
	withinOption(s, o)
}

func historyOptions(s *flaggy.Subcommand, o *Options) {
	storeOption(s, o)
	s.Int(&o.Limit, "l", "limit", "Most versions to print.")
}

func explainOptions(s *flaggy.Subcommand, o *Options) {
	s.String(&o.Instance, "i", "instance", "Metrics address of the instance, host:port.")
	s.String(&o.Method, "m", "method", "Method of the request.")
	s.String(&o.Host, "", "host", "Host that the request names.")
	s.String(&o.Path, "p", "path", "Path of the request, escaped as it is sent, without a query.")
	s.String(&o.Key, "k", "key", "Key of the request, 0 to 65535.")
	s.String(&o.Team, "t", "team", "Name of the team that sends the request.")
	s.String(&o.APIKeyFile, "", "api-key-file", "File with the API key of the request; only its digest is sent. Without it and a team the request is anonymous.")
}
