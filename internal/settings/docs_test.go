package settings

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var updateDocs = flag.Bool("update", false, "write the generated tables of docs/settings.md")

const (
	docsPage  = "../../docs/settings.md"
	docsBegin = "<!-- begin generated -->\n"
	docsEnd   = "<!-- end generated -->"
)

var docsScopes = []struct {
	scope Scope
	title string
}{
	{ScopeRequest, "Request settings"},
	{ScopeServer, "Server settings"},
	{ScopeService, "Service settings"},
	{ScopeControl, "Control settings"},
	{ScopeIdentity, "Settings that describe a section"},
}

// renderTables returns the generated part of the page.
func renderTables() string {
	var b strings.Builder
	for _, s := range docsScopes {
		fmt.Fprintf(&b, "\n### %s\n\n| Setting | Unit | Default | Range | Sections | Meaning and reason |\n|---|---|---|---|---|---|\n", s.title)
		for _, spec := range Specs() {
			if spec.Scope != s.scope {
				continue
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", spec.Name, orDash(spec.Unit), defaultText(spec), spec.Range(), sectionsText(spec), spec.Reason)
		}
	}
	return b.String() + "\n"
}

func orDash(text string) string {
	if text == "" {
		return "–"
	}
	return text
}

func defaultText(s Spec) string {
	if s.Required {
		return "required"
	}
	return orDash(s.Default)
}

func sectionsText(s Spec) string {
	forms := s.Levels.Forms()
	for i, form := range forms {
		forms[i] = "`" + form + "`"
	}
	return strings.Join(forms, " ")
}

// Guards against a reference page whose settings, defaults, ranges or sections differ
// from the code.
func TestReferencePageMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile(docsPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(page), docsBegin)
	_, after, foundEnd := strings.Cut(rest, docsEnd)
	if !found || !foundEnd {
		t.Fatal("the page lacks the markers of the generated part")
	}
	want := before + docsBegin + renderTables() + docsEnd + after
	if *updateDocs {
		if err := os.WriteFile(docsPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(page) != want {
		t.Error("docs/settings.md differs from specs.go; run go test ./internal/settings -run TestReferencePage -update and read the result")
	}
}

// Guards against a default outside its range and against a setting without unit or
// reason.
func TestSpecsAreComplete(t *testing.T) {
	for _, s := range Specs() {
		if s.Default != "" && s.validate(s.Default) != nil {
			t.Errorf("%s: the default %s is not accepted: %v", s.Name, s.Default, s.validate(s.Default))
		}
		if s.Reason == "" || s.Levels == 0 {
			t.Errorf("%s has no reason or no section", s.Name)
		}
		if (s.Kind == KindDuration || s.Kind == KindInteger) && (s.Unit == "" || s.Max <= s.Min) {
			t.Errorf("%s has no unit or no range", s.Name)
		}
		if s.Scope != ScopeIdentity && s.Default == "" {
			t.Errorf("%s has no default", s.Name)
		}
	}
}
