package events

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// helperFields are the fields that a helper function adds to the events passed to it. The
// key is PACKAGE.FUNCTION.
var helperFields = map[string][]string{
	"dispatch.emit":    {FieldRequestID, FieldService, FieldKey},
	"holder.emitLease": {"epoch", "unconfirmed_ms", "sends_orders"},
	"router.end":       {FieldRequestID, FieldService, FieldKey, FieldIdempotent, FieldAttempt, FieldOutcome, FieldDuration, FieldKind, FieldStage, FieldDetail},
}

// indirectFields are the fields of events that are passed through variables, so that the
// scan cannot find them at a call. The key is the name of the event.
var indirectFields = map[string][]string{
	"events_dropped":          {"count"},
	"shard_taken":             {FieldShard, FieldToken},
	"shard_token_raised":      {FieldShard, FieldToken},
	"shard_lost":              {FieldShard, FieldToken},
	"shard_released":          {FieldShard, FieldToken},
	"shard_no_majority":       {FieldShard, FieldToken},
	"witnesses_changed":       {FieldShard, FieldToken},
	"witnesses_settled":       {FieldShard, FieldToken},
	"shard_record_created":    {FieldShard, FieldToken},
	"witness_majority_lost":   {FieldShard, FieldToken},
	"instance_proven_gone":    {FieldInstance},
	"request_refused":         {FieldRequestID, FieldService, FieldKey, FieldOutcome, FieldStage, FieldKind, "problem"},
	"request_unknown":         {FieldRequestID, FieldService, FieldKey, FieldOutcome, FieldStage, FieldKind, "problem"},
	"request_forwarded_again": {FieldRequestID, FieldService, FieldKey, FieldAttempt, FieldHolder, FieldKind, FieldStage, FieldDetail},
}

// fieldScan collects the fields of events from the calls that emit them.
type fieldScan struct {
	// names maps the identifiers of events to their names, and constants the
	// identifiers of field constants to their values.
	names     map[string]string
	constants map[string]string
	fields    map[string][]string
}

// fieldsInCode returns the fields of each event by its name, in the order in which the
// code below root lists them.
func fieldsInCode(root string, events map[int]Event) (map[string][]string, error) {
	s := &fieldScan{names: map[string]string{}, constants: map[string]string{}, fields: map[string][]string{}}
	if err := s.files(filepath.Join(root, "events"), s.declarations); err != nil {
		return nil, err
	}
	for _, e := range events {
		s.add(e.Name, indirectFields[e.Name])
	}
	return s.fields, s.files(root, s.calls)
}

// files parses the code below root, except tests, and passes each file to read.
func (s *fieldScan) files(root string, read func(*ast.File)) error {
	return filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			read(file)
		}
		return err
	})
}

// declarations reads the identifiers of events and of names of fields.
func (s *fieldScan) declarations(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		switch value := spec.Values[0].(type) {
		case *ast.BasicLit:
			s.constants[spec.Names[0].Name] = stringLiteral(value)
		case *ast.CallExpr:
			if name, ok := value.Fun.(*ast.Ident); ok && name.Name == "register" {
				s.names[spec.Names[0].Name] = stringLiteral(value.Args[1])
			}
		}
		return true
	})
}

// calls collects the fields from calls that have an event as an argument.
func (s *fieldScan) calls(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		for index, argument := range call.Args {
			name := s.names[selectedFromEvents(argument)]
			if name == "" {
				continue
			}
			s.add(name, helperFields[file.Name.Name+"."+calleeName(call)])
			s.add(name, s.pairs(call.Args[index+1:]))
		}
		return true
	})
}

// pairs returns the names from alternating names and values, up to the first name that
// is neither a literal nor a field constant.
func (s *fieldScan) pairs(arguments []ast.Expr) []string {
	var names []string
	for n := 0; n < len(arguments); n += 2 {
		name := stringLiteral(arguments[n])
		if name == "" {
			name = s.constants[selectedFromEvents(arguments[n])]
		}
		if name == "" {
			break
		}
		names = append(names, name)
	}
	return names
}

func (s *fieldScan) add(event string, fields []string) {
	for _, field := range fields {
		if !slices.Contains(s.fields[event], field) {
			s.fields[event] = append(s.fields[event], field)
		}
	}
}

// selectedFromEvents returns NAME if e is the expression events.NAME, and "" otherwise.
func selectedFromEvents(e ast.Expr) string {
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if from, ok := selector.X.(*ast.Ident); !ok || from.Name != "events" {
		return ""
	}
	return selector.Sel.Name
}

func calleeName(call *ast.CallExpr) string {
	if selector, ok := call.Fun.(*ast.SelectorExpr); ok {
		return selector.Sel.Name
	}
	return ""
}

// stringLiteral returns the value of e if it is a string literal, and "" otherwise.
func stringLiteral(e ast.Expr) string {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	value, _ := strconv.Unquote(literal.Value)
	return value
}
