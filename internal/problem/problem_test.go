package problem

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Guards against a kind without a remedy.
func TestEveryKindHasARemedy(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "kind.go", nil, 0)
	is.NoErr(err)
	names := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			names++
			value := spec.Values[0].(*ast.BasicLit).Value
			if remedies[Kind(strings.Trim(value, `"`))] == "" {
				t.Errorf("kind %s has no remedy", value)
			}
		}
		return true
	})
	is.Equal(names, len(remedies))
}

// Guards against an error of unknown type being reported with outcome "not run".
func TestFromUnknownErrorIsUnknown(t *testing.T) {
	is := is.New(t)
	is.Equal(From(errors.New("disk on fire")).Outcome, outcome.Unknown)
	inner := New(KindShed, outcome.StageQueued, "queue of bosho-03 is full")
	is.Equal(From(errors.Wrap(inner, "dispatch")), inner)
}
