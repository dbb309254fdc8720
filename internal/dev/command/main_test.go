package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against exit code 0 after a call with invalid arguments.
func TestInvalidArgumentsFail(t *testing.T) {
	for name, args := range map[string][]string{
		"no subcommand":    {},
		"no settings":      {"servers"},
		"missing settings": {"servers", "--settings", "/nonexistent/tree.ini"},
		"no entries":       {"callers"},
		"bad rate":         {"callers", "--entries", "127.0.0.1:1/127.0.0.1:2", "--rate", "0"},
		"bad address":      {"platform", "--listen", "nowhere:x"},
		"no programs":      {"demo", "--bin", "/nonexistent", "--settings", "/nonexistent/tree.ini"},
		"no seeds":         {"soak", "--seeds", "0"},
		"unknown theme":    {"soak", "--theme", "x"},
		"no routers":       {"bench", "--routers", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, failures bytes.Buffer
			is.True(Main(args, &out, &failures) != 0)
			is.True(strings.HasPrefix(failures.String(), "peridotmoor-dev: "))
		})
	}
}
