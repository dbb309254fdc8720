package command

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against examples in docs/analyst.md that do not match the output, and against a
// subcommand that the page does not mention.
func TestExamplesOfTheAnalystsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/analyst.md")
	is.NoErr(err)
	examples := regexp.MustCompile("(?s)```console\n\\$ peridotmoor-report (.*?)\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	is.Equal(len(examples), 6)
	for _, example := range examples {
		got, _, _ := strings.Cut(runMain(exampleArgs(example[1]), nil, ""), "--- standard error")
		if got != example[2] {
			t.Errorf("%s prints:\n%s", example[1], got)
		}
	}
	for _, c := range commands {
		is.True(strings.Contains(string(page), "peridotmoor-report "+c.name))
	}
}

// exampleArgs replaces the file names on the page by the paths of the sample files.
func exampleArgs(text string) []string {
	var args []string
	for _, arg := range strings.Fields(text) {
		switch {
		case arg == "*.records":
			args = append(args, sampleFiles...)
		case strings.HasSuffix(arg, ".json"):
			args = append(args, "testdata/sample/"+arg)
		default:
			args = append(args, arg)
		}
	}
	return args
}
