package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an HTML report that differs from the other reports on the same records.
func TestHTMLShowsTheSample(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "board.html")
	got := runMain([]string{"html", "--output", path}, sampleFiles, "")
	is.Equal(got, "--- standard error\n--- exit code 0\n")
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "16 requests: 11 answered (68.75 %)"))
	is.True(strings.Contains(string(text), "kyu-naka taken out 2026-12-04 10:57:13.029"))
	is.True(strings.Contains(runMain([]string{"html"}, sampleFiles, ""), string(text))) // without --output it is printed
}
