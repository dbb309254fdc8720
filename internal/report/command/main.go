// Package command holds the subcommands of peridotmoor-report.
package command

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Version is printed by --version; the build sets it.
var Version = "development"

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed is for a violation, a request that is not accounted for, or an input that
	// cannot be read.
	ExitFailed = 1
	ExitUsage  = 2
)

const description = "Tells from the records of all instances what happened to each request.\n\n" +
	"FILES are record files of any number of instances in any order; without any, standard input is read.\n" +
	"Exit codes: 0 done, 1 a violation or an input that cannot be read, 2 wrong arguments."

// Main runs the subcommand named in args and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var o options
	parser, subcommands := newParser(&o)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "peridotmoor-report:", err)
		return ExitUsage
	}
	for n, c := range commands {
		if !subcommands[n].Used {
			continue
		}
		if unknown := unknownFlag(subcommands[n], args); unknown != "" {
			fmt.Fprintf(stderr, "peridotmoor-report: %s has no argument %s; --help lists them\n", c.name, unknown)
			return ExitUsage
		}
		t := &tool{options: o, stdin: stdin, stdout: stdout, stderr: stderr, files: parser.TrailingArguments}
		return t.exit(c, c.run(t))
	}
	fmt.Fprintln(stderr, "peridotmoor-report: name a subcommand; --help lists them")
	return ExitUsage
}

func newParser(o *options) (*flaggy.Parser, []*flaggy.Subcommand) {
	parser := flaggy.NewParser("peridotmoor-report")
	parser.Description = description
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	var subcommands []*flaggy.Subcommand
	for _, c := range commands {
		sub := c.newSubcommand(o)
		subcommands = append(subcommands, sub)
		parser.AttachSubcommand(sub, 1)
	}
	return parser, subcommands
}

// unknownFlag returns the first argument that looks like a flag and is not one of the
// subcommand's. The parser would ignore it, because it has to pass on FILES.
func unknownFlag(sub *flaggy.Subcommand, args []string) string {
	for _, arg := range args {
		if arg == "--" {
			return ""
		}
		name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if strings.HasPrefix(arg, "-") && !hasFlag(sub, name) {
			return arg
		}
	}
	return ""
}

func hasFlag(sub *flaggy.Subcommand, name string) bool {
	return slices.ContainsFunc(sub.Flags, func(f *flaggy.Flag) bool {
		return name != "" && (f.LongName == name || f.ShortName == name)
	})
}
