package fleet

import (
	"net/url"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that another service runs, because an escaped slash in a name
// makes its path look like one of a longer prefix.
func TestEscapedSlashDividesNothing(t *testing.T) {
	is := is.New(t)
	orders, archive := &Service{Name: "orders"}, &Service{Name: "archive"}
	config := NewConfig(1, []*Service{orders, archive}, []*Route{
		{Name: "archive", Host: "h", Prefix: "/orders/archive/"}, {Name: "orders", Host: "h", Prefix: "/orders/"},
	}, Limits{})
	for path, route := range map[string]string{
		"/orders/archive/7":       "archive",
		"/orders/archive%2F7":     "orders",
		"/orders/archive%2f7":     "orders",
		"/orders/archive%252F7":   "orders",
		"/orders/%61rchive/7":     "archive", // an escaped letter is the letter
		"/orders/archive/a%2Fb":   "archive",
		"/orders%2Farchive/7":     "",
		"/orders/archive%":        "orders",
		"/orders/archive%zz/":     "orders",
		"/orders/archive%2":       "orders",
		"/%6frders/archive/%C3%A": "archive",
	} {
		found := config.Match("h", RoutingPath(path))
		if route == "" {
			is.True(found == nil)
			continue
		}
		is.True(found != nil)
		is.Equal(found.Name, route)
	}
}

// FuzzRoutingPath guards against two different paths, as far as their names are different,
// that are routed as one.
func FuzzRoutingPath(f *testing.F) {
	f.Add("/a%2Fb/%25/%41")
	f.Fuzz(func(t *testing.T, escaped string) {
		decoded, err := url.PathUnescape(RoutingPath(escaped))
		want, wantErr := url.PathUnescape(escaped)
		if err == nil && wantErr == nil && decoded != want {
			t.Errorf("%q is routed as %q, which decodes to %q instead of %q", escaped, RoutingPath(escaped), decoded, want)
		}
		if again := RoutingPath(RoutingPath(escaped)); wantErr == nil && again != RoutingPath(escaped) {
			t.Errorf("%q is routed as %q, and that as %q", escaped, RoutingPath(escaped), again)
		}
	})
}
