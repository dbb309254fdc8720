package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/settings/settingstest"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

var update = flag.Bool("update", false, "write the golden files")

// fakeInstances serves GET /status for a set of instances. The keys are their
// addresses; the functions return the status at a time since the start of the test.
type fakeInstances map[string]func(since time.Duration) (Status, error)

func (f fakeInstances) transport() http.RoundTripper {
	start := time.Now()
	return roundTripper(func(r *http.Request) (*http.Response, error) {
		statusAt, ok := f[r.URL.Host]
		if !ok {
			return nil, errors.New("connection refused")
		}
		status, err := statusAt(time.Since(start))
		if err != nil {
			return nil, err
		}
		body, err := json.Marshal(status)
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, err
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// runsVersion reports one version all the time.
func runsVersion(number uint64) func(time.Duration) (Status, error) {
	return switchesVersion(0, number, number)
}

// switchesVersion reports the version before, and from the time after on the version number.
func switchesVersion(after time.Duration, before, number uint64) func(time.Duration) (Status, error) {
	return func(since time.Duration) (Status, error) {
		status := Status{Instance: "entry", Domain: "north", SettingsVersion: number, Ready: true}
		if since < after {
			status.SettingsVersion = before
		}
		return status, nil
	}
}

// movesUntil reports version 2 and, until the given time, one key range on a
// server that is out of service.
func movesUntil(until time.Duration) func(time.Duration) (Status, error) {
	return func(since time.Duration) (Status, error) {
		status := Status{Instance: "entry", Domain: "north", SettingsVersion: 2, Ready: true}
		if since < until {
			status.PendingMoves = 1
		}
		return status, nil
	}
}

// scenario is the environment of a command: the store and the instances.
type scenario struct {
	versions   []string // files with the versions in the store
	instances  fakeInstances
	beforeCall func(op, key string) error
	afterCall  func(op, key string) error
}

// newSeededStore returns a store that contains the files as versions with fixed write IDs.
func newSeededStore(t *testing.T, files []string) *settingstest.Store {
	s := settingstest.NewStore()
	revision := uint64(0)
	for i, file := range files {
		text, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		v := version.Version{Number: uint64(i + 1), Parent: uint64(i), WriteID: fmt.Sprintf("write-%d", i+1), Author: []string{"aoi", "bryn"}[i%2],
			Time: time.Date(2026, 3, 1, 12, i, 0, 0, time.UTC), SHA256: version.Digest(string(text)), Text: string(text)}
		value, err := version.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		entry, err := s.CompareAndSwap(t.Context(), version.CurrentKey, revision, value, "")
		if err != nil {
			t.Fatal(err)
		}
		revision = entry.Revision
		if i < len(files)-1 {
			s.CompareAndSwap(t.Context(), version.HistoryKey(v.Number), 0, value, "")
		}
	}
	return s
}

var uuidPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// runTool runs the tool in a scenario and returns its output, its messages and its exit code.
func runTool(t *testing.T, w scenario, arguments []string) string {
	var stdout, stderr bytes.Buffer
	s := newSeededStore(t, w.versions)
	s.SetHooks(w.beforeCall, w.afterCall)
	code := Main(t.Context(), arguments, Env{
		Stdout: &stdout, Stderr: &stderr,
		Connect: func(string) (store.Store, error) { return s, nil },
		Client:  &http.Client{Transport: w.instances.transport()},
		Now:     func() time.Time { return time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC) },
		Getenv:  func(name string) string { return map[string]string{envUser: "aoi"}[name] },
	})
	text := fmt.Sprintf("$ peridotmoorctl %s\n%s--- standard error\n%s--- exit code %d\n", strings.Join(arguments, " "), stdout.String(), stderr.String(), code)
	return uuidPattern.ReplaceAllString(text, "WRITE-ID")
}

// Guards against unintended changes of output, messages and exit codes. Scripts
// and pages of the operators rely on them.
func TestGolden(t *testing.T) {
	one, two := scenario{versions: []string{"base.ini"}}, scenario{versions: []string{"base.ini", "next.ini"}}
	running := func(w scenario, instances fakeInstances) scenario { w.instances = instances; return w }
	down := func(op, key string) error { return store.ErrUnavailable }
	loseResponse := func(op, key string) error {
		if op == "cas" && key == version.CurrentKey {
			return store.ErrUncertain
		}
		return nil
	}
	southOut := scenario{versions: []string{"base.ini", "southout.ini"}}
	cases := []struct {
		name      string
		scenario  scenario
		arguments string
	}{
		{"check_valid", one, "check testdata/base.ini"},
		{"check_change", one, "check testdata/next.ini -s http://store"},
		{"check_change_json", one, "check testdata/next.ini -s http://store --json"},
		{"check_faulty", one, "check testdata/bad.ini"},
		{"check_faulty_json", one, "check testdata/bad.ini --json"},
		{"check_transition", one, "check testdata/movedin.ini -s http://store"},
		{"check_no_file", one, "check testdata/none.ini"},
		{"show_overview", southOut, "show -s http://store"},
		{"show_overview_json", southOut, "show -s http://store --json"},
		{"show_service", one, "show service.graves -s http://store"},
		{"show_domain", southOut, "show domain.south -s http://store"},
		{"show_service_domain", southOut, "show service.graves.south -s http://store"},
		{"show_key", one, "show service.graves.north --key tomb -f testdata/base.ini"},
		{"show_key_without_domain", one, "show service.graves --key tomb -f testdata/base.ini"},
		{"show_server", southOut, "show server.graves-2 -s http://store"},
		{"show_server_json", one, "show server.graves-2 -s http://store --json"},
		{"show_default", one, "show DEFAULT -s http://store"},
		{"show_past", two, "show server.graves-2 -s http://store -n 1"},
		{"show_missing_version", two, "show -s http://store -n 9"},
		{"show_unknown_service", one, "show service.plots -s http://store"},
		{"show_unknown_path", one, "show graves -s http://store"},
		{"show_text", two, "show --text -s http://store"},
		{"show_empty_store", scenario{}, "show -s http://store"},
		{"show_without_store", one, "show"},
		{"diff_accepted", one, "diff testdata/next.ini -s http://store"},
		{"diff_versions", two, "diff 1 2 -s http://store"},
		{"diff_equal", one, "diff testdata/base.ini testdata/base.ini"},
		{"diff_json", one, "diff testdata/base.ini testdata/next.ini --json"},
		{"apply_first", scenario{}, "apply testdata/base.ini -s http://store --parent 0 --no-instances"},
		{"apply", running(one, fakeInstances{"a:1": runsVersion(1)}), "apply testdata/next.ini -s http://store --parent 1 -i a:1"},
		{"apply_json", running(one, fakeInstances{"a:1": runsVersion(1)}), "apply testdata/marked.ini -s http://store -i a:1 --json"},
		{"apply_and_wait", running(one, fakeInstances{"a:1": switchesVersion(time.Second, 1, 2), "b:1": switchesVersion(3*time.Second, 1, 2)}), "apply testdata/marked.ini -s http://store -i a:1,b:1 --wait"},
		{"apply_without_parent", running(one, fakeInstances{"a:1": runsVersion(1)}), "apply testdata/next.ini -s http://store -i a:1"},
		{"apply_parents_differ", running(one, fakeInstances{"a:1": runsVersion(1)}), "apply testdata/marked.ini -s http://store -i a:1 --parent 3"},
		{"apply_without_instances", one, "apply testdata/next.ini -s http://store --parent 1"},
		{"apply_instances_down", one, "apply testdata/next.ini -s http://store --parent 1 -i a:1,b:1"},
		{"apply_race", running(two, fakeInstances{"a:1": runsVersion(2)}), "apply testdata/southout.ini -s http://store --parent 1 -i a:1"},
		{"apply_race_json", running(two, fakeInstances{"a:1": runsVersion(2)}), "apply testdata/southout.ini -s http://store --parent 1 -i a:1 --json"},
		{"apply_older_store", running(one, fakeInstances{"a:1": runsVersion(4)}), "apply testdata/next.ini -s http://store --parent 1 -i a:1"},
		{"apply_unchanged", running(one, fakeInstances{"a:1": runsVersion(1)}), "apply testdata/base.ini -s http://store --parent 1 -i a:1"},
		{"apply_faulty", running(one, fakeInstances{"a:1": runsVersion(1)}), "apply testdata/bad.ini -s http://store --parent 1 -i a:1"},
		{"apply_store_down", scenario{versions: one.versions, instances: fakeInstances{"a:1": runsVersion(1)}, beforeCall: down}, "apply testdata/next.ini -s http://store --parent 1 -i a:1"},
		{"apply_answer_lost", scenario{versions: one.versions, instances: fakeInstances{"a:1": runsVersion(1)}, afterCall: loseResponse}, "apply testdata/next.ini -s http://store --parent 1 -i a:1"},
		{"apply_settled", running(southOut, fakeInstances{"a:1": runsVersion(2), "b:1": switchesVersion(2*time.Second, 1, 2)}), "apply testdata/moved.ini -s http://store --parent 2 -i a:1,b:1"},
		{"apply_not_settled", running(southOut, fakeInstances{"a:1": runsVersion(2), "b:1": runsVersion(1)}), "apply testdata/moved.ini -s http://store --parent 2 -i a:1,b:1 --within 5s"},
		{"apply_moves_pending", running(southOut, fakeInstances{"a:1": movesUntil(3 * time.Second)}), "apply testdata/moved.ini -s http://store --parent 2 -i a:1"},
		{"apply_moves_do_not_end", running(southOut, fakeInstances{"a:1": movesUntil(time.Hour)}), "apply testdata/moved.ini -s http://store --parent 2 -i a:1 --within 5s"},
		{"wait_not_ready", running(two, fakeInstances{"a:1": func(time.Duration) (Status, error) {
			return Status{Instance: "entry", Domain: "north", SettingsVersion: 2}, nil
		}}), "wait 2 -i a:1 --within 5s"},
		{"wait", running(two, fakeInstances{"a:1": switchesVersion(time.Second, 1, 2), "b:1": switchesVersion(3*time.Second, 1, 2)}), "wait 2 -i a:1,b:1"},
		{"wait_accepted_json", running(two, fakeInstances{"a:1": runsVersion(3)}), "wait -s http://store -i a:1 --json"},
		{"wait_in_vain", running(two, fakeInstances{"a:1": runsVersion(2), "b:1": runsVersion(1)}), "wait 2 -i a:1,b:1,c:1 --within 10s"},
		{"wait_in_vain_json", running(two, fakeInstances{"a:1": runsVersion(1)}), "wait 2 -i a:1 --within 10s --json"},
		{"wait_without_instances", two, "wait 2"},
		{"wait_bad_version", two, "wait two -i a:1"},
		{"history", two, "history -s http://store"},
		{"history_limit", two, "history -s http://store --limit 1"},
		{"history_json", two, "history -s http://store --json"},
		{"history_bad_limit", two, "history -s http://store --limit 0"},
		{"history_store_down", scenario{beforeCall: down}, "history -s http://store"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				compareGolden(t, c.name, runTool(t, c.scenario, strings.Fields(c.arguments)))
			})
		})
	}
}

func compareGolden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("output differs from %s; got:\n%s\nwant:\n%s", path, got, want)
	}
}

// Guards against a wait that continues to its time-out after the operator interrupted it.
func TestInterruptedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		start := time.Now()
		code := Main(ctx, []string{"wait", "2", "-i", "a:1"}, Env{Stdout: io.Discard, Stderr: io.Discard,
			Client: &http.Client{Transport: fakeInstances{"a:1": runsVersion(1)}.transport()}, Getenv: func(string) string { return "" }})
		if code != ExitNotInEffect || time.Since(start) > 2*time.Second {
			t.Errorf("exit code %d after %v", code, time.Since(start))
		}
	})
}
