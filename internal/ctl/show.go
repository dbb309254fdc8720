package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// showResult is the output of the show command for one path of the settings tree.
type showResult struct {
	Source string                    `json:"source"`
	Path   string                    `json:"path"`
	Values []settings.EffectiveValue `json:"values"`
}

func (s showResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s in %s\n", s.Path, s.Source)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "SETTING\tVALUE\tUNIT\tLEVEL")
	for _, v := range s.Values {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", v.Name, v.Value, dashIfEmpty(v.Unit), bracketLevel(v.Level))
	}
	table.Flush()
}

func bracketLevel(name string) string {
	if name == settings.BuiltInLevel {
		return name
	}
	return "[" + name + "]"
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func runShow(ctx context.Context, t *tool) (output, error) {
	if t.options.Text {
		return t.showText(ctx)
	}
	tree, source, err := t.treeToShow(ctx)
	if err != nil {
		return nil, err
	}
	if t.options.First == "" {
		return newOverview(tree, source), nil
	}
	path, err := t.pathToShow(tree)
	if err != nil {
		return nil, err
	}
	values, err := tree.Effective(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return showResult{Source: source, Path: path, Values: values}, nil
}

func (t *tool) showText(ctx context.Context) (output, error) {
	if t.options.File != "" {
		return nil, &usageError{"--text shows a version of the store; leave --file out"}
	}
	v, err := t.versionToShow(ctx)
	if err != nil {
		return nil, err
	}
	return textOutput{Version: v.Number, Text: v.Text}, nil
}

func (t *tool) versionToShow(ctx context.Context) (version.Version, error) {
	if t.options.Version < 0 {
		return version.Version{}, &usageError{fmt.Sprintf("version %d is below 1; see peridotmoorctl history", t.options.Version)}
	}
	s, err := t.connect()
	if err != nil {
		return version.Version{}, err
	}
	if t.options.Version > 0 {
		return readVersion(ctx, s, uint64(t.options.Version))
	}
	return requireAccepted(ctx, s)
}

// treeToShow returns the tree to show and the name of its source.
func (t *tool) treeToShow(ctx context.Context) (*settings.Tree, string, error) {
	if t.options.File != "" {
		tree, err := t.readFile(t.options.File)
		return tree, t.options.File, err
	}
	v, err := t.versionToShow(ctx)
	if err != nil {
		return nil, "", err
	}
	tree, err := v.Tree()
	return tree, v.String(), err
}

// pathToShow returns the path, extended by the key range that contains --key.
func (t *tool) pathToShow(tree *settings.Tree) (string, error) {
	path := t.options.First
	if t.options.Key == "" {
		return path, nil
	}
	parts := strings.Split(path, ".")
	if len(parts) != 3 || parts[0] != "service" {
		return "", &usageError{fmt.Sprintf("--key needs a path of the form service.NAME.DOMAIN, not %q", path)}
	}
	service, ok := tree.Service(parts[1])
	if !ok {
		return path, nil // the error of Tree.Effective lists the existing services
	}
	if name := service.RangeOf(parts[2], t.options.Key); name != "" {
		path += "." + name
	}
	return path, nil
}
