package httpbackend_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/textproto"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

var order = backend.Order{Shard: key.ShardID{Service: "s"}}

func newRequest(method, id string, body []byte) *request.Request {
	return &request.Request{ID: id, Key: "k", Method: method, Path: "/p", Buffered: body,
		ContentLength: int64(len(body)), Deadline: time.Now().Add(30 * time.Second)}
}

func send(t *testing.T, client *httpbackend.Server, r *request.Request) error {
	t.Helper()
	response, err := client.Send(t.Context(), order, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against net/http resending a request by itself after a reused connection
// failed, by which a server could run the request twice. If the body could be
// rewound, the GET and the POST with an idempotency key would arrive twice.
func TestRequestIsSentOnce(t *testing.T) {
	cases := []struct {
		name    string
		request *request.Request
	}{
		{"GET", newRequest("GET", "second", nil)},
		{"HEAD", newRequest("HEAD", "second", nil)},
		{"DELETE", newRequest("DELETE", "second", nil)},
		{"POST", newRequest("POST", "second", []byte("body"))},
		{"empty POST", newRequest("POST", "second", nil)},
		{"PUT", newRequest("PUT", "second", []byte("body"))},
	}
	marked := newRequest("POST", "second", nil)
	marked.Header = textproto.MIMEHeader{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
	cases = append(cases, struct {
		name    string
		request *request.Request
	}{"POST marked idempotent", marked})
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := startRaw(t, 1, true)
			client := httpbackend.New("s-1", server.address(), 3)
			is.NoErr(send(t, client, newRequest("GET", "first", nil)))
			err := send(t, client, test.request)
			is.True(err != nil)
			is.Equal(problem.From(err).Stage, outcome.StageWritten)
			is.Equal(problem.From(err).Kind, problem.KindAnswerLost)
			client.Close()
			is.Equal(server.stop()["second"], 1)
		})
	}
}

// Guards against a wrong outcome when a server closes an idle connection while the
// next request is being sent: it is "not run" only if no byte of it was written.
func TestIdleConnectionClosedByTheServer(t *testing.T) {
	is := is.New(t)
	server := startRaw(t, 1, false)
	client := httpbackend.New("s-1", server.address(), 3)
	results := map[string]error{}
	for i := range 300 {
		id := strconv.Itoa(i)
		results[id] = send(t, client, newRequest("POST", id, []byte("body")))
	}
	client.Close()
	seen := server.stop()
	for id, err := range results {
		switch {
		case err == nil:
			is.Equal(seen[id], 1)
		case problem.From(err).Outcome == outcome.NotRun:
			is.Equal(seen[id], 0)
		default:
			is.Equal(problem.From(err).Stage, outcome.StageWritten)
		}
	}
}

// Guards against a request that is still written after its outcome was reported as
// "not run". Requests are cancelled at random times around their first write.
func TestCancelledRequestIsNotSentLater(t *testing.T) {
	is := is.New(t)
	server := startRaw(t, 1_000_000, false)
	client := httpbackend.New("s-1", server.address(), 10)
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	unsent := map[string]bool{}
	var senders sync.WaitGroup
	for worker := range 8 {
		delays := make([]time.Duration, 300)
		for i := range delays {
			delays[i] = time.Duration(random.IntN(150)) * time.Microsecond
		}
		senders.Go(func() {
			for i, delay := range delays {
				id := strconv.Itoa(worker) + "-" + strconv.Itoa(i)
				ctx, cancel := context.WithCancel(t.Context())
				timer := time.AfterFunc(delay, cancel)
				response, err := client.Send(ctx, order, newRequest("POST", id, []byte("body")))
				if err == nil {
					_ = response.Body.Close()
				} else if problem.From(err).Outcome == outcome.NotRun {
					mu.Lock()
					unsent[id] = true
					mu.Unlock()
				}
				timer.Stop()
				cancel()
			}
		})
	}
	senders.Wait()
	client.Close()
	seen := server.stop()
	for id := range unsent {
		is.Equal(seen[id], 0)
	}
	t.Logf("%d requests were reported as not run", len(unsent))
}

// Guards against forwarding hop-by-hop headers, or headers that only peridotmoor
// may set, from a caller to the server.
func TestHeadersOfTheCallerAreFiltered(t *testing.T) {
	is := is.New(t)
	server := startRaw(t, 2, false)
	client := httpbackend.New("s-1", server.address(), 3)
	r := newRequest("POST", "one", []byte("body"))
	r.Header = textproto.MIMEHeader{
		"Peridotmoor-Request-Id": {"other"},
		"Transfer-Encoding":      {"chunked"},
		"Content-Length":         {"1"},
		"Connection":             {"close, X-Private"},
		"X-Private":              {"1"},
	}
	is.NoErr(send(t, client, r))
	is.NoErr(send(t, client, newRequest("GET", "two", nil)))
	client.Close()
	is.Equal(server.stop(), map[string]int{"one": 1, "two": 1})
}

// Guards against a grant that encoding and decoding change.
func TestGrantRoundTrip(t *testing.T) {
	is := is.New(t)
	grant := backend.Grant{Order: order, Expiry: 7, Sequence: 9, Ranges: []key.Range{{Start: 5, End: 0}, {Start: 1, End: ^key.Hash(0)}}}
	decoded, err := httpbackend.NewGrantRequest(grant).Decode()
	is.NoErr(err)
	is.Equal(decoded, grant)
	for _, text := range []string{"", "1", "1.", ".1", "-1.2", "1.2.3", "a.b"} {
		_, err := httpbackend.ParseToken(text)
		is.True(err != nil)
	}
	response, err := httpbackend.GrantResponse{ClockNS: 5, Incarnation: "i", Highest: "3.4", Running: 2, Leaving: true}.Decode()
	is.NoErr(err)
	is.Equal(response.Highest.String(), "3.4")
	is.Equal(response.Clock, 5*time.Nanosecond)
}

// Guards against reusing a connection after the body reader of a request failed:
// the next request would be read as the rest of that body.
func TestFailedBodyOfTheCaller(t *testing.T) {
	is := is.New(t)
	server := startRaw(t, 2, false)
	client := httpbackend.New("s-1", server.address(), 3)
	r := newRequest("POST", "one", nil)
	r.Body = io.MultiReader(bytes.NewReader(make([]byte, 10)), &failingReader{})
	r.ContentLength = 100
	err := send(t, client, r)
	is.True(err != nil)
	is.Equal(problem.From(err).Stage, outcome.StageWritten)
	is.NoErr(send(t, client, newRequest("GET", "two", nil)))
	client.Close()
	server.stop()
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) {
	return 0, io.ErrNoProgress
}
