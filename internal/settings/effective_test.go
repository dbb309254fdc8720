package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a value that is shown with a level other than the one that sets it.
func TestEffective(t *testing.T) {
	tree := parseEdited(t, "[domain.south]\n", "[domain.south]\nstate = out\n")
	cases := []struct {
		path, name, value, level string
	}{
		{"DEFAULT", "timeout", "2s", "DEFAULT"},
		{"DEFAULT", "promise_ttl", "600ms", BuiltInLevel},
		{"service.graves", "timeout", "1s", "service.graves"},
		{"service.graves", "shards", "2", "service.graves"},
		{"service.graves", "hedge", "false", "service.graves"},
		{"service.photos", "hedge", "true", BuiltInLevel},
		{"service.photos", "shards", "1", BuiltInLevel},
		{"service.photos.north", "timeout", "2s", "DEFAULT"},
		{"service.graves.north.tombs", "timeout", "30s", "service.graves.north.tombs"},
		{"service.graves.north.tombs", "priority", "7", "service.graves.north"},
		{"service.graves.south", "state", "out", "domain.south"},
		{"domain.south", "state", "out", "domain.south"},
		{"domain.north", "state", "in", BuiltInLevel},
		{"server.graves-2", "state", "out", "domain.south"},
		{"server.graves-2", "slots", "5", "server.graves-2"},
		{"server.graves-1", "shard", "0", "server.graves-1"},
		{"server.photos-1", "shard", "0", BuiltInLevel},
	}
	for _, c := range cases {
		t.Run(c.path+"/"+c.name, func(t *testing.T) {
			is := is.New(t)
			values, err := tree.Effective(c.path)
			is.NoErr(err)
			for _, v := range values {
				if v.Name == c.name {
					is.Equal(v.Value, c.value)
					is.Equal(v.Level, c.level)
					return
				}
			}
			t.Errorf("%s is not shown", c.name)
		})
	}
}

// Guards against default values for a path that does not exist.
func TestEffectiveRefuses(t *testing.T) {
	tree := mustParse(t, sampleText)
	cases := map[string]string{
		"graves":                      "is not a place of the tree",
		"service.x":                   `service "x" does not exist; services: graves, photos`,
		"service.graves.west":         `failure domain "west" does not exist; failure domains: north, south`,
		"service.graves.north.graves": `key range "graves" does not exist`,
		"server.x":                    `server "x" does not exist`,
	}
	for path, want := range cases {
		if _, err := tree.Effective(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", path, err, want)
		}
	}
}
