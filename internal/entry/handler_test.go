package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

type staticPolicy struct{}

func (staticPolicy) Lookup(service, _ string) (Policy, bool) {
	return Policy{Timeout: 2 * time.Second, IdleTimeout: time.Second}, service == "bosho"
}

// Authenticate lets every caller in, as settings without teams do.
func (staticPolicy) Authenticate(credential.Credential, string) (Sender, bool) {
	return Sender{}, true
}

type noopObserver struct{}

func (noopObserver) Arrived(r *http.Request) context.Context { return r.Context() }
func (noopObserver) Refused(context.Context, *request.Request, *problem.Problem, time.Duration) {
}
func (noopObserver) Completed(context.Context, *request.Request, outcome.Outcome, *problem.Problem, time.Duration) {
}

type handlerFunc func(context.Context, *request.Request) (*request.Response, error)

func (f handlerFunc) Handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	return f(ctx, r)
}

func newHandler(next handlerFunc) *Handler {
	return New("entry-1", staticPolicy{}, next, noopObserver{}, func(time.Time) *problem.Problem { return nil })
}

func respondWith(body io.Reader) handlerFunc {
	return func(_ context.Context, r *request.Request) (*request.Response, error) {
		return &request.Response{RequestID: r.ID, Status: 200, ContentLength: -1, Server: "bosho-01", Body: io.NopCloser(body)}, nil
	}
}

// Guards against invalid input that reaches a holder, or whose refusal has no remedy or
// a wrong outcome.
func TestBadInputIsRefused(t *testing.T) {
	id := uuid.Must(uuid.NewV7()).String()
	cases := []struct {
		name, method, path string
		headers            map[string]string
		kind               problem.Kind
		status             int
	}{
		{"unknown service", "GET", "/bosh/plot-7/x", nil, problem.KindUnknownService, 404},
		{"no key", "GET", "/bosho", nil, problem.KindMissingKey, 404},
		{"empty key", "GET", "/bosho//x", nil, problem.KindMissingKey, 404},
		{"long key", "GET", "/bosho/" + strings.Repeat("k", maxKeyBytes+1), nil, problem.KindHeaderTooLarge, 431},
		{"POST without ID", "POST", "/bosho/plot-7/order", nil, problem.KindMissingID, 400},
		{"ID is not a UUID", "POST", "/bosho/plot-7/order", map[string]string{HeaderRequestID: "x"}, problem.KindBadID, 400},
		{"ID is version 4", "POST", "/bosho/plot-7/order", map[string]string{HeaderRequestID: uuid.NewString()}, problem.KindBadID, 400},
		{"invalid idempotent header", "GET", "/bosho/plot-7/x", map[string]string{HeaderIdempotent: "yes"}, problem.KindBadIdempotent, 400},
		{"invalid timeout", "GET", "/bosho/plot-7/x", map[string]string{HeaderTimeoutMS: "2s"}, problem.KindBadDeadline, 400},
		{"timeout of zero", "POST", "/bosho/plot-7/x", map[string]string{HeaderRequestID: id, HeaderTimeoutMS: "0"}, problem.KindBadDeadline, 400},
		{"timeout too long", "GET", "/bosho/plot-7/x", map[string]string{HeaderTimeoutMS: "3600001"}, problem.KindBadDeadline, 400},
		{"header too large", "GET", "/bosho/plot-7/x", map[string]string{"X-Note": strings.Repeat("n", maxHeaderBytes)}, problem.KindHeaderTooLarge, 431},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHandler(func(context.Context, *request.Request) (*request.Response, error) {
				t.Error("the request reached the next handler")
				return nil, errors.New("unexpected")
			})
			in := httptest.NewRequest(c.method, c.path, nil)
			for name, value := range c.headers {
				in.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, in)
			var got refusal
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
			is.Equal(w.Code, c.status)
			is.Equal(got.Kind, string(c.kind))
			is.Equal(got.Outcome, string(outcome.NotRun))
			is.Equal(w.Header().Get(HeaderOutcome), string(outcome.NotRun))
			is.True(got.Remedy != "")
		})
	}
}

// Guards against a truncated response that the caller mistakes for a complete one: a
// small response becomes a refusal, a large one closes the connection.
func TestTruncatedResponses(t *testing.T) {
	for _, size := range []int{10, maxBufferedResponseBytes + 10} {
		is := is.New(t)
		broken := io.MultiReader(bytes.NewReader(make([]byte, size)), &failingReader{})
		server := httptest.NewServer(newHandler(respondWith(broken)))
		response, err := http.Get(server.URL + "/bosho/plot-7/x")
		is.NoErr(err)
		_, readErr := io.ReadAll(response.Body)
		if size <= maxBufferedResponseBytes {
			is.Equal(response.Header.Get(HeaderOutcome), string(outcome.Unknown))
			is.Equal(response.StatusCode, http.StatusBadGateway)
		} else {
			is.True(readErr != nil)
		}
		is.NoErr(response.Body.Close())
		server.Close()
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against an upload that is buffered completely in memory, or that loses bytes
// between its buffered start and the streamed remainder.
func TestLargeBodiesAreStreamed(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("moss"), maxBufferedBytes)
	server := httptest.NewServer(newHandler(func(_ context.Context, r *request.Request) (*request.Response, error) {
		if !r.Streamed() || r.Buffered != nil {
			t.Error("the upload was not streamed")
		}
		return &request.Response{RequestID: r.ID, Status: 200, ContentLength: -1, Body: io.NopCloser(r.Body)}, nil
	}))
	defer server.Close()
	in, err := http.NewRequest("PUT", server.URL+"/bosho/plot-7/survey", bytes.NewReader(body))
	is.NoErr(err)
	in.Header.Set(HeaderRequestID, uuid.Must(uuid.NewV7()).String())
	response, err := http.DefaultClient.Do(in)
	is.NoErr(err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
}

// Guards against a read deadline that is left set after the end of the body. Once a
// request took longer than its timeout, the deadline cancelled all later requests of the
// connection.
func TestSlowRequestLeavesItsConnectionUsable(t *testing.T) {
	is := is.New(t)
	slow := true
	server := httptest.NewServer(newHandler(func(ctx context.Context, r *request.Request) (*request.Response, error) {
		if slow {
			<-time.After(time.Until(r.Deadline) + 20*time.Millisecond)
			slow = false
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return respondWith(strings.NewReader("ok"))(ctx, r)
	}))
	defer server.Close()
	for range 3 {
		for _, body := range []io.Reader{nil, io.NopCloser(strings.NewReader("moss"))} {
			in, err := http.NewRequest("GET", server.URL+"/bosho/plot-7/x", body)
			is.NoErr(err)
			in.Header.Set(HeaderTimeoutMS, "20")
			response, err := http.DefaultClient.Do(in)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.Header.Get(HeaderOutcome), string(outcome.Answered))
			slow = body == nil
		}
	}
}

// Guards against equal digests of different requests, which would allow one request ID
// for both.
func TestDigestCoversTheRequest(t *testing.T) {
	is := is.New(t)
	seen := map[uint64]bool{}
	for _, in := range []*http.Request{
		httptest.NewRequest("PUT", "/bosho/plot-7/x", strings.NewReader("a")),
		httptest.NewRequest("PUT", "/bosho/plot-7/x", strings.NewReader("b")),
		httptest.NewRequest("PUT", "/bosho/plot-7/y", strings.NewReader("a")),
		httptest.NewRequest("PUT", "/bosho/plot-7/x?n=1", strings.NewReader("a")),
		httptest.NewRequest("DELETE", "/bosho/plot-7/x", strings.NewReader("a")),
	} {
		in.Header.Set(HeaderRequestID, uuid.Must(uuid.NewV7()).String())
		var got *request.Request
		h := newHandler(func(_ context.Context, r *request.Request) (*request.Response, error) {
			got = r
			return nil, problem.New(problem.KindShed, outcome.StageQueued, "test")
		})
		h.ServeHTTP(httptest.NewRecorder(), in)
		is.True(got != nil)
		seen[got.Digest] = true
	}
	is.Equal(len(seen), 5)
}

// FuzzHeaders guards against input that causes a panic or a response without an outcome.
func FuzzHeaders(f *testing.F) {
	f.Add("/bosho/plot-7/x", "true", "100", "0190b3c2-0000-7000-8000-000000000000")
	f.Add("/%2f/..//", "maybe", "-1", "not-an-id")
	f.Add("/bosho/%00", "", "99999999999999999999", "")
	f.Fuzz(func(t *testing.T, path, mark, timeout, id string) {
		h := newHandler(respondWith(strings.NewReader("ok")))
		in := httptest.NewRequest("POST", "/", strings.NewReader("body"))
		in.URL.Path = path
		in.Header.Set(HeaderIdempotent, mark)
		in.Header.Set(HeaderTimeoutMS, timeout)
		in.Header.Set(HeaderRequestID, id)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, in)
		if w.Header().Get(HeaderOutcome) == "" {
			t.Fatalf("status %d has no outcome", w.Code)
		}
	})
}
