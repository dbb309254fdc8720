package settings

import (
	"os"
	"testing"
)

// FuzzParse guards against input that makes Parse panic, input that is refused without a
// remedy, and accepted input that yields other settings when it is parsed again.
func FuzzParse(f *testing.F) {
	f.Add(sampleText)
	f.Add(teamsText())
	for _, file := range []string{"kyushu", "midlands"} {
		text, err := os.ReadFile("../../examples/" + file + ".ini")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	for _, text := range []string{"", "\ufeff[DEFAULT]", "[", "[]", "=", "a=", "- = 1", "[DEFAULT]\ntimeout = \"\"\"\nx = 1", "[DEFAULT]\ntimeout = `1s", "[DEFAULT]\r\ntimeout = 1s\r\n",
		"[service.x]\nshards = 256\n", "[service.x]\n[server.y]\nservice = x\nshard = 255", "[service.a.b.c]\nfrom = \xff\nto = \x00", "[DEFAULT]\ntimeout = %(x)s\nx = 1s"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		tree, err := Parse(text, "fuzz.ini")
		if err != nil {
			checkIssuesComplete(t, err)
			return
		}
		reparsed, err := Parse(tree.Text(), "fuzz.ini")
		if err != nil || len(Diff(tree, reparsed)) > 0 {
			t.Errorf("accepted text yields other settings when parsed again: %v", err)
		}
	})
}

func checkIssuesComplete(t *testing.T, err error) {
	issues, ok := err.(Issues)
	if !ok || len(issues) == 0 {
		t.Fatalf("got %T, want Issues", err)
	}
	for _, issue := range issues {
		if issue.File == "" || issue.Reason == "" || issue.Remedy == "" {
			t.Errorf("incomplete issue %+v", issue)
		}
	}
}
