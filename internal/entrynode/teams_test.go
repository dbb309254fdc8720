package entrynode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// putTenants replaces the configuration by one of the given version with other teams.
func (f *fleet) putTenants(t *testing.T, version int, tenants []any) {
	t.Helper()
	is := is.New(t)
	entry, err := f.store.Store().Get(context.Background(), "op/config")
	is.NoErr(err)
	var value map[string]any
	is.NoErr(json.Unmarshal(entry.Value, &value))
	value["version"], value["tenants"] = version, tenants
	text, err := json.Marshal(value)
	is.NoErr(err)
	_, err = f.store.Store().CompareAndSwap(context.Background(), entry.Key, entry.Revision, text, "")
	is.NoErr(err)
}

// sendAs sends a request with the given key, "" for none. It returns the status, and the
// team and the credential that the server has seen.
func sendAs(t *testing.T, client *http.Client, i *instance, id, key string) (status int, team, credential string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodPost, "http://"+i.config.CallerAddress+"/p/x", strings.NewReader("body"))
	is.NoErr(err)
	request.Host = "h"
	request.Header = http.Header{"X-Attempt-Id": {id}, "X-Shard-Key": {"1"}, "X-Tenant": {"forged"}}
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	response, err := client.Do(request)
	is.NoErr(err)
	response.Body.Close()
	return response.StatusCode, response.Header.Get("Seen-Team"), response.Header.Get("Seen-Authorization")
}

// Guards against instances that let callers in by keys that were withdrawn, keep those out
// that were added, run requests that they answer with 401, or show a key in their logs, on
// connections that stay open; and against a malformed configuration that replaces the keys.
func TestKeysChangeAtEveryInstance(t *testing.T) {
	is := is.New(t)
	f := newFleetOf(t, map[string]any{"name": "s"}, defaultRouteTimeout)
	client := newCaller()
	defer client.CloseIdleConnections()
	sent := 0
	// await sends requests to all instances until each gets the status.
	await := func(key string, want int) {
		t.Helper()
		started := time.Now()
		for _, i := range f.instances {
			waitFor(t, fmt.Sprintf("instance %s responds with %d", i.config.Name, want), func() bool {
				sent++
				id := fmt.Sprintf("t-%d", sent)
				status, _, credential := sendAs(t, client, i, id, key)
				if status == http.StatusUnauthorized {
					is.Equal(f.countExecutions(id), 0)
				}
				return status == want && (key == "" || credential == "")
			})
		}
		t.Logf("%d after %s at all instances", want, time.Since(started).Round(time.Millisecond))
	}
	a, b := secretPrefix+"a", secretPrefix+"b"
	teamA, teamB := map[string]any{"name": "team-a", "api_keys": []any{a}}, map[string]any{"name": "team-b", "api_keys": []any{b}}
	await("", http.StatusOK)
	f.putTenants(t, 2, []any{teamA, teamB})
	await("", http.StatusUnauthorized)
	await(a, http.StatusOK)
	f.putTenants(t, 3, []any{teamB})
	await(a, http.StatusUnauthorized)
	f.putTenants(t, 4, []any{teamB, map[string]any{"name": "team-c", "api_keys": []any{a, b}}}) // b twice: refused
	waitFor(t, "the holder, which reads the store for all, refuses the configuration", func() bool {
		return slices.ContainsFunc(f.instances, func(i *instance) bool {
			return slices.ContainsFunc(i.log.traced(), func(line string) bool { return strings.Contains(line, "tenants[1].api_keys[1]") })
		})
	})
	for _, i := range f.instances {
		status, team, credential := sendAs(t, client, i, "u-"+i.config.Name, b)
		is.Equal(status, http.StatusOK)
		is.Equal(team, "team-b")
		is.Equal(credential, "")
		status, _, _ = sendAs(t, client, i, "v-"+i.config.Name, a)
		is.Equal(status, http.StatusUnauthorized) // never again by an instance that has refused it
	}
	f.putTenants(t, 5, []any{teamA, teamB})
	await(a, http.StatusOK)
	for _, i := range f.instances {
		text := i.scrape(t)
		is.True(strings.Contains(text, `peridotmoor_team_calls_total{outcome="answered",team="team-a"}`))
		is.True(strings.Contains(text, `peridotmoor_unauthorized_calls_total{reason="unknown"}`))
		is.True(strings.Contains(text, `peridotmoor_unauthorized_calls_total{reason="missing"}`))
		is.True(!strings.Contains(text, secretPrefix))
		is.True(!i.log.leaked())
	}
}
