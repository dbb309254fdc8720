package explain

import (
	"encoding/hex"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// The parameters of a query.
const (
	paramMethod = "method"
	paramHost   = "host"
	paramPath   = "path"
	paramKey    = "key"
	paramTeam   = "team"
	paramDigest = "key_digest"
)

// maxNameLength limits how much of an unknown parameter's name an error repeats, in bytes.
const maxNameLength = 32

// maxLengths holds the longest value of each parameter in bytes.
var maxLengths = map[string]int{paramMethod: 32, paramHost: 261, paramPath: 8192, paramKey: 5, paramTeam: 256, paramDigest: 2 * len(fleet.KeyDigest{})}

// Query is the request that is to be explained. It never holds an API key.
type Query struct {
	Method, Host string
	// Path is the path as a caller sends it, in its escaped form and without a query.
	Path string
	// Key is the key of the request, or nil.
	Key *int
	// Team is the name of the team, or empty.
	Team string
	// Digest is the digest of the API key, or nil.
	Digest *fleet.KeyDigest
}

// Encode returns the parameters of the query.
func (q Query) Encode() url.Values {
	v := url.Values{paramMethod: {q.Method}, paramHost: {q.Host}, paramPath: {q.Path}}
	if q.Key != nil {
		v.Set(paramKey, strconv.Itoa(*q.Key))
	}
	if q.Team != "" {
		v.Set(paramTeam, q.Team)
	}
	if q.Digest != nil {
		v.Set(paramDigest, hex.EncodeToString(q.Digest[:]))
	}
	return v
}

// ParseQuery reads the parameters of a query. The error is a *ParameterError.
func ParseQuery(v url.Values) (Query, error) {
	for _, name := range sortedNames(v) {
		switch limit, known := maxLengths[name]; {
		case !known:
			return Query{}, &ParameterError{strconv.Quote(name[:min(len(name), maxNameLength)]), "use only method, host, path, key, team and key_digest"}
		case len(v[name]) != 1 || v.Get(name) == "" || len(v.Get(name)) > limit:
			return Query{}, &ParameterError{name, "give it once, with 1 to " + strconv.Itoa(limit) + " bytes"}
		}
	}
	q := Query{Method: v.Get(paramMethod), Host: v.Get(paramHost), Path: v.Get(paramPath), Team: v.Get(paramTeam)}
	switch {
	case !v.Has(paramMethod):
		return Query{}, &ParameterError{paramMethod, "give the method of the request, such as GET"}
	case !v.Has(paramHost):
		return Query{}, &ParameterError{paramHost, "give the host that the request names"}
	case !strings.HasPrefix(q.Path, "/") || strings.Contains(q.Path, "?"):
		return Query{}, &ParameterError{paramPath, "give a path that starts with / and has no query"}
	case q.Team != "" && v.Has(paramDigest):
		return Query{}, &ParameterError{paramTeam, "give either a team or the digest of a key"}
	}
	if text := v.Get(paramKey); text != "" {
		key, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return Query{}, &ParameterError{paramKey, "give a number from 0 to 65535"}
		}
		number := int(key)
		q.Key = &number
	}
	if text := v.Get(paramDigest); text != "" {
		var digest fleet.KeyDigest
		if n, err := hex.Decode(digest[:], []byte(text)); err != nil || n != len(digest) {
			return Query{}, &ParameterError{paramDigest, "give the SHA-256 digest of the API key as 64 hexadecimal digits"}
		}
		q.Digest = &digest
	}
	return q, nil
}

// sortedNames returns the names of the parameters in a fixed order, so that the same query
// always gets the same error.
func sortedNames(v url.Values) []string {
	var names []string
	for name := range v {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// WithAPIKey returns the query with the digest of an API key.
func (q Query) WithAPIKey(key string) Query {
	digest := fleet.DigestKey(key)
	q.Digest = &digest
	return q
}

// RoutingPath returns the path that routes are matched against.
func (q Query) RoutingPath() string {
	return fleet.RoutingPath(q.Path)
}
