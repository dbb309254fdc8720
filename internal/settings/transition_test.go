package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// parseEdited parses sampleText with replacements, given as alternating old and new text.
func parseEdited(t *testing.T, parts ...string) *Tree {
	t.Helper()
	for i := 0; i < len(parts); i += 2 {
		if !strings.Contains(sampleText, parts[i]) {
			t.Fatalf("sample does not contain %q", parts[i])
		}
	}
	return mustParse(t, strings.NewReplacer(parts...).Replace(sampleText))
}

// Guards against two instances that grant the same key because they run versions that
// differ in shards, servers or promise times.
func TestCheckTransition(t *testing.T) {
	const (
		graves    = "keyed = true\nshards = 2"
		gravesOut = "keyed = true\nshards = 2\nstate = out"
		server    = "10.0.0.2:80\nshard = 1"
		serverOut = "10.0.0.2:80\nshard = 1\nstate = out"
		photos    = "[service.photos]\n"
		photosOut = "[service.photos]\nstate = out\n"
		photo     = "address = 10.0.0.3:80\n"
	)
	type edits []string
	cases := []struct {
		name             string
		old              edits
		next             edits
		want             string // part of the error, empty if permitted
		needsOldInEffect bool
	}{
		{"value only", nil, edits{"slots = 5", "slots = 4"}, "", false},
		{"shards while in", nil, edits{graves, "keyed = true\nshards = 1", server, "10.0.0.2:80\nshard = 0"}, "shards changes from 2 while the service is in", true},
		{"shards while going out", nil, edits{graves, "keyed = true\nshards = 3\nstate = out"}, "shards changes from 2", true},
		{"shards while coming in", edits{graves, gravesOut}, edits{graves, "keyed = true\nshards = 1", server, "10.0.0.2:80\nshard = 0"}, "shards changes from 2", true},
		{"shards while out", edits{graves, gravesOut}, edits{graves, "keyed = true\nshards = 3\nstate = out"}, "", true},
		{"keyed while in", nil, edits{"keyed = true", "keyed = false"}, "keyed changes while the service is in", true},
		{"keyed while out", edits{graves, gravesOut}, edits{graves, "keyed = false\nshards = 2\nstate = out"}, "", true},
		{"shard of server while in", nil, edits{"10.0.0.2:80\nshard = 1", "10.0.0.2:80\nshard = 0", "10.0.0.1:80\nshard = 0", "10.0.0.1:80\nshard = 1"}, "[server.graves-2] shard", true},
		{"shard of server while out", edits{photos, "[service.photos]\nshards = 1\n[service.photos.south]\nstate = out\n"}, edits{photos, photosOut, photo, "address = 10.0.0.4:80\n"}, "", true},
		{"address while in", nil, edits{photo, "address = 10.0.0.4:80\n"}, `the address changes from "10.0.0.3:80"`, true},
		{"domain while in", nil, edits{"domain = south\naddress = 10.0.0.3:80", "domain = north\naddress = 10.0.0.3:80"}, `the failure domain changes from "south"`, true},
		{"address while coming in", edits{photo, photo + "state = out\n"}, edits{photo, "address = 10.0.0.4:80\n"}, "the address changes", true},
		{"address while out", edits{photo, photo + "state = out\n"}, edits{photo, "address = 10.0.0.4:80\nstate = out\n"}, "", true},
		{"server removed while in", nil, edits{"[server.photos-1]", "[server.photos-2]"}, "the server is removed while the server is in", true},
		{"server removed while out", edits{photo, photo + "state = out\n"}, edits{"[server.photos-1]", "[server.photos-2]"}, "", true},
		{"service removed while in", nil, edits{"[service.photos]", "[service.pictures]", "service = photos", "service = pictures"}, "the service is removed while it is in", true},
		{"service goes out", nil, edits{graves, gravesOut}, "", false},
		{"server goes out", nil, edits{server, serverOut}, "", false},
		{"promise while in", nil, edits{"timeout = 2s", "promise_ttl = 500ms"}, `promise_ttl = "500ms": the time changes while service "graves" is in`, true},
		{"delivery while in", nil, edits{"timeout = 2s", "max_delivery = 100ms"}, `max_delivery = "100ms": the time changes`, true},
		{"promise while one is in", edits{graves, gravesOut}, edits{graves, gravesOut, "timeout = 2s", "promise_ttl = 500ms"}, `service "photos" is in`, true},
		{"promise while going out", nil, edits{graves, gravesOut, photos, photosOut, "timeout = 2s", "promise_ttl = 500ms"}, `service "graves" is in`, true},
		{"promise while out", edits{graves, gravesOut, photos, photosOut}, edits{graves, gravesOut, photos, photosOut, "timeout = 2s", "promise_ttl = 500ms"}, "", true},
		{"promise while coming in", edits{graves, gravesOut, photos, photosOut}, edits{"timeout = 2s", "promise_ttl = 500ms"}, "the time changes", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			old, next := parseEdited(t, c.old...), parseEdited(t, c.next...)
			err := CheckTransition(old, next)
			if c.want == "" {
				is.NoErr(err)
			} else {
				checkIssues(t, err, []string{c.want, "apply"})
			}
			is.Equal(NeedsOldInEffect(old, next), c.needsOldInEffect)
		})
	}
}

// Guards against a first version that is refused because it has no predecessor.
func TestFirstVersionNeedsNothing(t *testing.T) {
	is := is.New(t)
	tree := mustParse(t, sampleText)
	is.NoErr(CheckTransition(nil, tree))
	is.True(!NeedsOldInEffect(nil, tree))
}

// Guards against differences that Diff omits.
func TestDiff(t *testing.T) {
	is := is.New(t)
	old := mustParse(t, sampleText)
	next := parseEdited(t, "slots = 5\n", "slots = 4\n", "priority = 7\n", "", "timeout = 2s", "timeout = 2s\nretry_limit = 1", "[service.photos]", "# a comment\n[service.photos]\n[domain.west]\nregion = r")
	var lines []string
	for _, change := range Diff(old, next) {
		lines = append(lines, change.String())
	}
	is.Equal(lines, []string{
		"[DEFAULT] retry_limit added: 1",
		"[domain.west] region added: r",
		"[server.graves-2] slots changed: 5 -> 4",
		"[service.graves.north] priority removed: 7",
	})
	is.Equal(len(Diff(old, old)), 0)
	is.Equal(len(Diff(nil, old)), len(Diff(old, nil)))
}
