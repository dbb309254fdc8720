package explain

import (
	"errors"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against a query that arrives as another one.
func TestQueryRoundTrip(t *testing.T) {
	is := is.New(t)
	key, digest := 65535, fleet.DigestKey("secret")
	for _, q := range []Query{
		{Method: "GET", Host: "h:80", Path: "/a%2Fb"},
		{Method: "POST", Host: "h", Path: "/", Key: &key, Team: "t"},
		{Method: "POST", Host: "h", Path: "/", Digest: &digest},
	} {
		is.True(!strings.Contains(q.Encode().Encode(), "secret"))
		got, err := ParseQuery(q.Encode())
		is.NoErr(err)
		is.Equal(got, q)
	}
}

// Guards against invalid or unbounded input that is taken, and errors that do not name the
// parameter or repeat its value.
func TestInvalidQueries(t *testing.T) {
	for text, parameter := range map[string]string{
		"host=h&path=/":                  "method",
		"method=GET&path=/":              "host",
		"method=GET&host=h":              "path",
		"method=GET&host=h&path=x":       "path",
		"method=GET&host=h&path=/%3Fa=b": "path",
		"method=GET&host=h&path=/" + strings.Repeat("x", 8192):                  "path",
		"method=GET&host=h&path=/&key=65536":                                    "key",
		"method=GET&host=h&path=/&key=-1":                                       "key",
		"method=GET&host=h&path=/&key=":                                         "key",
		"method=GET&host=h&path=/&key=1&key=2":                                  "key",
		"method=GET&host=h&path=/&key_digest=secret":                            "key_digest",
		"method=GET&host=h&path=/&team=t&key_digest=" + strings.Repeat("0", 64): "team",
		"method=GET&host=h&path=/&api_key=secret":                               `"api_key"`,
	} {
		t.Run(parameter, func(t *testing.T) {
			is := is.New(t)
			v, err := url.ParseQuery(text)
			is.NoErr(err)
			_, err = ParseQuery(v)
			var invalid *ParameterError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Parameter, parameter)
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}
