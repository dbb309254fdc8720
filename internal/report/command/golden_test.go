package command

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The records are a part of a run of the demo in which a failure domain was taken out of
// service and brought back, a server was lost, and the instance entry-kyu-kita was killed.
var sampleFiles = []string{"testdata/sample/entry-kyu-kita.records", "testdata/sample/entry-kyu-naka.records", "testdata/sample/entry-kyu-minami.records"}

const evidenceArgs = "--runlog testdata/sample/runlog.json --callers testdata/sample/callers.json"

// Guards against unintended changes of the output, and against claims that the records do
// not support.
func TestGolden(t *testing.T) {
	cases := []struct {
		name  string
		args  string
		files []string
	}{
		{"request_order", "request 01a240b3-73ea-7e49-8c63-86660e270533", sampleFiles},
		{"request_hedged", "request 01a240b3-7d59-7dd2-af7a-2384866ad236", sampleFiles},
		{"request_retried", "request 01a240b3-72ed-7f40-8457-65d6e5a520a0", sampleFiles},
		{"request_not_run", "request 01a240b3-7103-73c3-b5ec-5dea7e02c5f3", sampleFiles},
		{"request_unknown", "request 01a240b3-7217-7d97-aadd-cc33216e1676", sampleFiles},
		{"request_holder_killed", "request 01a240b3-937b-7858-aef7-bd8814cc1057", sampleFiles},
		{"request_without_entry", "request 01a240b3-73ea-7e49-8c63-86660e270533", sampleFiles[:1]},
		{"request_absent", "request 01a240b3-0000-7000-8000-000000000000", sampleFiles},
		{"request_json", "request 01a240b3-7542-7572-901e-c6dc2044aac9 --json", sampleFiles},
		{"verify", "verify " + evidenceArgs, sampleFiles},
		{"verify_without_an_instance", "verify " + evidenceArgs, sampleFiles[:2]},
		{"verify_json", "verify --json " + evidenceArgs, sampleFiles},
		{"summary", "summary", sampleFiles},
		{"summary_window", "summary --from 2026-12-04T10:57:12Z --to 2026-12-04T10:57:13", sampleFiles},
		{"summary_json", "summary --json", sampleFiles},
		{"unanswered", "unanswered", sampleFiles},
		{"unanswered_json", "unanswered --json", sampleFiles},
		{"domain", "domain kyu-naka", sampleFiles},
		{"domain_json", "domain kyu-naka --json", sampleFiles},
		{"domain_unknown", "domain derby", sampleFiles},
		{"usage_unknown_flag", "summary --form 10:57", nil},
		{"usage_bad_time", "summary --from yesterday", nil},
		{"usage_no_evidence", "verify", nil},
		{"usage_no_command", "", nil},
		{"missing_file", "summary testdata/absent.records", nil},
		{"damaged_runlog", "verify --runlog testdata/sample/callers.json --callers testdata/sample/callers.json", sampleFiles},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := runMain(strings.Fields(c.args), c.files, "")
			path := filepath.Join("testdata/golden", c.name+".txt")
			if *update {
				is.NoErr(os.WriteFile(path, []byte(got), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			if got != string(want) {
				t.Errorf("output differs from %s (rewrite it with -update if the new one is right):\n%s", path, got)
			}
		})
	}
}

// runMain runs the program and returns its output, its standard error and its exit code.
func runMain(args, files []string, stdin string) string {
	var out, failures bytes.Buffer
	code := Main(append(args, files...), strings.NewReader(stdin), &out, &failures)
	return fmt.Sprintf("%s--- standard error\n%s--- exit code %d\n", out.String(), failures.String(), code)
}

// Guards against output that depends on the order of the files, or on reading from files
// instead of standard input.
func TestOrderAndSourceOfRecordsDoNotMatter(t *testing.T) {
	is := is.New(t)
	want := runMain([]string{"summary"}, sampleFiles, "")
	is.Equal(runMain([]string{"summary"}, []string{sampleFiles[2], sampleFiles[0], sampleFiles[1]}, ""), want)
	joined := ""
	for _, name := range sampleFiles {
		text, err := os.ReadFile(name)
		is.NoErr(err)
		joined += string(text)
	}
	is.Equal(runMain([]string{"summary"}, nil, joined), want)
}

// Guards against terminal control characters in a caller's key.
func TestControlCharactersAreNotPrinted(t *testing.T) {
	is := is.New(t)
	line := `{"at":"2026-12-04T10:00:00Z","event":1452,"name":"request_refused_at_entry","instance":"e","request_id":"x","key":"\u001b[2J\u009b1m","outcome":"not-run"}`
	got := runMain([]string{"request", "x"}, nil, line+"\n")
	is.True(strings.Contains(got, "key ?[2J?1m"))
}
