package ctl

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// tool is one invocation of the program.
type tool struct {
	env     Env
	options *Options
}

// Main parses the arguments, runs the command and returns the exit code.
func Main(ctx context.Context, arguments []string, env Env) int {
	o := defaultOptions(env)
	p := newParser(o)
	if err := p.ParseArgs(arguments); err != nil {
		fmt.Fprintf(env.Stderr, "an argument has a value of the wrong form: %v; see peridotmoorctl %s --help\n", err, arguments[0])
		return ExitUsage
	}
	c := findCommand(p.TrailingSubcommand().Name)
	if c == nil {
		p.ShowHelpWithMessage("Name a command.")
		return ExitUsage
	}
	t := &tool{env: env, options: o}
	return t.print(c.run(ctx, t))
}

// connect returns a client of the store that the options name.
func (t *tool) connect() (store.Store, error) {
	if t.options.Store == "" {
		return nil, &usageError{"no store is named; give --store URL or set " + envStore}
	}
	s, err := t.env.Connect(t.options.Store)
	if err != nil {
		return nil, &unreachableError{err.Error()}
	}
	return s, nil
}

// readFile parses a settings tree from a file. For an invalid tree the error is settings.Issues.
func (t *tool) readFile(name string) (*settings.Tree, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("cannot read the settings tree: %v; correct the file name", err)}
	}
	return settings.Parse(string(text), name)
}

// readAccepted reads the accepted version. It returns the zero version if there is none.
func readAccepted(ctx context.Context, s store.Store) (version.Version, error) {
	v, _, err := version.Current(ctx, s)
	if errors.Is(err, store.ErrNotFound) {
		return version.Version{}, nil
	}
	return v, err
}

// requireAccepted is like readAccepted, but returns an error if there is no accepted version.
func requireAccepted(ctx context.Context, s store.Store) (version.Version, error) {
	v, err := readAccepted(ctx, s)
	if err == nil && v.Number == 0 {
		return v, &usageError{"the store holds no settings yet; apply a file first"}
	}
	return v, err
}

// readVersion reads one version by its number.
func readVersion(ctx context.Context, s store.Store, number uint64) (version.Version, error) {
	v, err := version.Get(ctx, s, number)
	if errors.Is(err, store.ErrNotFound) {
		return v, &usageError{fmt.Sprintf("the store does not keep version %d; see peridotmoorctl history", number)}
	}
	return v, err
}

// parentHeader begins the first line of the text that show --text prints. From
// it apply learns which version an edited file was built on.
const parentHeader = "# peridotmoor settings version "

func addParentHeader(v version.Version) string {
	return parentHeader + strconv.FormatUint(v.Number, 10) + "\n" + v.Text
}

// splitParentHeader returns the text without its header line and the version that the header names.
func splitParentHeader(text string) (body string, parent uint64, marked bool) {
	line, rest, _ := strings.Cut(text, "\n")
	number, found := strings.CutPrefix(strings.TrimSpace(line), parentHeader)
	if !found {
		return text, 0, false
	}
	parent, err := strconv.ParseUint(number, 10, 64)
	return rest, parent, err == nil
}
