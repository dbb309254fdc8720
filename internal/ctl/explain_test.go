package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"peridotmoor.org/peridotmoor/internal/explain"
)

// Guards against an API key that leaves the machine of the operator, and against output that
// leaves out a refusal or an obstacle.
func TestExplain(t *testing.T) {
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.RequestURI()
		if r.URL.Query().Get("team") == "nobody" {
			http.Error(w, "parameter team: unknown", http.StatusBadRequest)
			return
		}
		json.NewEncoder(w).Encode(explain.Answer{Instance: "i-1", Domain: "d", Refusal: &explain.Refusal{Status: 503, Reason: "why", RetryAfterMS: 20},
			Services: []explain.Service{{Name: "s", ServerCount: 1, Servers: []explain.Server{{Name: "a", Obstacle: "leaving"}}}}})
	}))
	defer server.Close()
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte("k7secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		arguments string
		code      int
		want      string
	}{
		{"--host h --path /p --api-key-file " + keyFile, ExitDone, "503, why, retry after 20 ms"},
		{"--host h --path /p --key 7", ExitDone, "not usable: leaving"},
		{"--host h --path /p --json", ExitDone, `"obstacle": "leaving"`},
		{"--host h --path /p --team nobody", ExitUsage, "parameter team"},
		{"--host h --path /p --key 65536", ExitUsage, "parameter key"},
		{"--host h", ExitUsage, "parameter path"},
		{"--host h --path /p --team t --api-key-file " + keyFile, ExitUsage, "parameter team"},
		{"--host h --path /p --api-key-file /nonexistent", ExitUsage, "cannot read the API key"},
	} {
		t.Run(c.arguments, func(t *testing.T) {
			var out bytes.Buffer
			arguments := append([]string{"explain", "--instance", strings.TrimPrefix(server.URL, "http://")}, strings.Fields(c.arguments)...)
			code := Main(t.Context(), arguments, Env{Stdout: &out, Stderr: &out, Client: server.Client(), Getenv: func(string) string { return "" }})
			if code != c.code || !strings.Contains(out.String(), c.want) {
				t.Errorf("exit code %d, want %d; output without %q:\n%s", code, c.code, c.want, out.String())
			}
			if strings.Contains(asked+out.String(), "k7secret") {
				t.Error("the API key was sent or printed")
			}
		})
	}
	server.Close()
	var out bytes.Buffer
	if code := Main(t.Context(), []string{"explain", "--instance", "127.0.0.1:1", "--host", "h", "--path", "/p"}, Env{Stdout: &out, Stderr: &out, Client: &http.Client{}, Getenv: func(string) string { return "" }}); code != ExitUnavailable {
		t.Errorf("exit code %d for an instance that does not answer:\n%s", code, out.String())
	}
}
