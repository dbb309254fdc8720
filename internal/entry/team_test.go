package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// teamPolicy lets in the holders of two keys, and callers without one.
type teamPolicy struct {
	staticPolicy
	noSettings bool
}

func (p teamPolicy) Authenticate(shown credential.Credential, _ string) (Sender, bool) {
	switch shown {
	case credential.Credential{}:
		return Sender{KeysRequired: true}, !p.noSettings
	case credential.Credential{Given: true, Digest: fleet.DigestKey("key-a")}:
		return Sender{KeysRequired: true, Team: "a"}, !p.noSettings
	case credential.Credential{Given: true, Digest: fleet.DigestKey("key-b")}:
		return Sender{KeysRequired: true, Team: "b"}, !p.noSettings
	}
	return Sender{KeysRequired: true, Refusal: "refused"}, !p.noSettings
}

// sendTo sends a request with the headers to a handler with the policies. It returns the
// status, and the request that was forwarded, or nil.
func sendTo(policies Policies, path string, body io.Reader, headers http.Header) (*httptest.ResponseRecorder, *request.Request) {
	var forwarded *request.Request
	h := New("entry-1", policies, handlerFunc(func(ctx context.Context, r *request.Request) (*request.Response, error) {
		forwarded = r
		return respondWith(strings.NewReader("x"))(ctx, r)
	}), noopObserver{}, func(time.Time) *problem.Problem { return nil })
	in := httptest.NewRequest(http.MethodPost, path, body)
	for name, values := range headers {
		in.Header[name] = values
	}
	in.Header.Set(HeaderRequestID, uuid.Must(uuid.NewV7()).String())
	w := httptest.NewRecorder()
	h.ServeHTTP(w, in)
	return w, forwarded
}

// unreadableBody fails the test if it is read.
type unreadableBody struct{ t *testing.T }

func (b unreadableBody) Read([]byte) (int, error) {
	b.t.Error("the body is read")
	return 0, io.EOF
}

// Guards against a request of an unauthorized caller that is forwarded or whose body is
// read, against a refusal that does not say that the request has not run, and against
// requests that are let in before the settings are known.
func TestUnauthorizedRequestsAreRefused(t *testing.T) {
	for name, header := range map[string]http.Header{
		"unknown":   {"Authorization": {"Token other"}},
		"malformed": {"Authorization": {"Bearer key-a"}},
		"two":       {"Authorization": {"Token key-a", "Token key-b"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, forwarded := sendTo(teamPolicy{}, "/bosho/plot-7/x", unreadableBody{t}, header)
			is.True(forwarded == nil)
			is.Equal(w.Code, http.StatusUnauthorized)
			is.Equal(w.Header().Get("WWW-Authenticate"), "Token")
			is.Equal(w.Header().Get(HeaderOutcome), string(outcome.NotRun))
			is.True(strings.Contains(w.Body.String(), `"unauthorized"`))
			is.True(!strings.Contains(w.Body.String(), "key-a") && !strings.Contains(w.Body.String(), "other"))
			oversized := header.Clone()
			oversized.Set("X-Large", strings.Repeat("n", maxHeaderBytes))
			w, _ = sendTo(teamPolicy{}, "/bosho/plot-7/x", unreadableBody{t}, oversized)
			is.Equal(w.Code, http.StatusRequestHeaderFieldsTooLarge) // what is logged of a request stays small
			w, forwarded = sendTo(teamPolicy{noSettings: true}, "/bosho/plot-7/x", unreadableBody{t}, header)
			is.True(forwarded == nil)
			is.Equal(w.Code, http.StatusServiceUnavailable)
		})
	}
}

// Guards against a server that sees a key, or a name of a team that the caller has chosen;
// and against headers that are changed in a tree without teams.
func TestForwardedHeadersOfTeams(t *testing.T) {
	headers := http.Header{"Authorization": {"Token key-a"}, "Peridotmoor_team": {"forged"}, "X-Own": {"kept"}}
	for name, c := range map[string]struct {
		policies Policies
		headers  http.Header
		team     string
		kept     bool
	}{
		"team":      {teamPolicy{}, headers, "a", false},
		"anonymous": {teamPolicy{}, http.Header{"Peridotmoor_team": {"forged"}, "X-Own": {"kept"}}, "", false},
		"no teams":  {staticPolicy{}, headers, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, forwarded := sendTo(c.policies, "/bosho/plot-7/x", strings.NewReader("body"), c.headers)
			is.Equal(w.Code, http.StatusOK)
			is.Equal(forwarded.Team, c.team)
			is.Equal(len(forwarded.Header["Authorization"]) > 0, c.kept)
			is.Equal(len(forwarded.Header["Peridotmoor_team"]) > 0, c.kept)
			is.Equal(forwarded.Header["X-Own"], []string{"kept"})
		})
	}
}

// Guards against a caller that gets the recorded answer to a request of another team by
// sending its ID.
func TestDigestDependsOnTheTeam(t *testing.T) {
	is := is.New(t)
	digestOf := func(key string) uint64 {
		_, forwarded := sendTo(teamPolicy{}, "/bosho/plot-7/x", strings.NewReader("body"), http.Header{"Authorization": {"Token " + key}})
		return forwarded.Digest
	}
	is.Equal(digestOf("key-a"), digestOf("key-a"))
	is.True(digestOf("key-a") != digestOf("key-b"))
	_, without := sendTo(staticPolicy{}, "/bosho/plot-7/x", strings.NewReader("body"), nil)
	_, anonymous := sendTo(teamPolicy{}, "/bosho/plot-7/x", strings.NewReader("body"), nil)
	is.Equal(without.Digest, anonymous.Digest) // records of before the tree had teams stay valid
}
