package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/ctl"
	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/internal/holder"
)

const (
	validServer = `{"address":"10.0.0.1:80","born":1700000000123,"info":{"service":"s","zone":"d","slots":3},"status":{"state":"ready","sequence":4,"cold_remaining_s":0}}`
	validConfig = `{"version":7,"services":[{"name":"s"}],"hosts":[{"host":"h","paths":[{"name":"r","path_prefix":"/","kind":"safe","service":"s"}]}]}`
)

// check runs "peridotmoorctl check --platform" against a store with the entries.
func check(t *testing.T, entries map[string]string, flags ...string) (code int, out string) {
	t.Helper()
	kv := kvstore.New()
	for key, value := range entries {
		kv.Store().Put(key, []byte(value))
	}
	server := httptest.NewServer(kv)
	defer server.Close()
	var buffer bytes.Buffer
	code = ctl.Main(context.Background(), append([]string{"check", "--platform", server.Listener.Addr().String()}, flags...), ctl.Env{
		Stdout: &buffer, Stderr: &buffer, ReadPlatform: readPlatform, Getenv: func(string) string { return "" },
	})
	return code, buffer.String()
}

// Guards against an operator who must read the logs of all instances to find the entry
// that another program has spoiled.
func TestCheckNamesUnreadableEntries(t *testing.T) {
	is := is.New(t)
	entries := map[string]string{"servers/i-1": validServer, "op/config": validConfig, "op/evacuate/d": "x"}
	code, out := check(t, entries)
	is.Equal(code, ctl.ExitDone)
	is.True(strings.Contains(out, "configuration 7 and 1 backend servers; 0 entries"))

	entries["servers/odd\n"] = validServer
	entries["servers/i-2"] = strings.Replace(validServer, ":80", ":99999", 1)
	entries["op/config"] = strings.Replace(validConfig, "7", "1e30", 1)
	entries[holder.KeyHolder] = "{"
	entries[holder.KeyRecord] = `{"epoch":-1}`
	code, out = check(t, entries)
	is.Equal(code, ctl.ExitRefused)
	for _, want := range []string{
		`"servers/odd\n": `, `"servers/i-2": `, "port of address", `"op/config": `, `"peridotmoor/holder": `, `"peridotmoor/owners": `,
		"holds no configuration that can be read, and 1 backend servers; 5 entries", "must correct or remove them",
	} {
		is.True(strings.Contains(out, want)) // want
	}
	code, out = check(t, entries, "--json")
	is.Equal(code, ctl.ExitRefused)
	is.True(strings.Contains(out, `"key": "servers/i-2"`))
}

// Guards against a check that reports nothing wrong because it could not read the store.
func TestCheckOfAnUnreachableStoreFails(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	code := ctl.Main(context.Background(), []string{"check", "--platform", "127.0.0.1:1"}, ctl.Env{
		Stdout: &buffer, Stderr: &buffer, ReadPlatform: readPlatform, Getenv: func(string) string { return "" },
	})
	is.Equal(code, ctl.ExitUnavailable)
	is.True(strings.Contains(buffer.String(), "127.0.0.1:1"))
}
