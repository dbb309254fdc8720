package caller

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/payload"
)

// newTestCaller returns a caller of an instance that answers each request with the text that
// respond returns, and closes the connection after an empty one.
func newTestCaller(t *testing.T, respond func(*http.Request) string) (c *Caller, stray *[]error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, respond)
		}
	}()
	i := &Instance{Name: "entry-0", Domain: "d", Address: listener.Addr().String(), Ready: func() bool { return true }, Process: func() int { return 1 }}
	stray = &[]error{}
	route := &Route{Name: "r", Prefix: "/r/", Idempotent: true, Timeout: time.Second}
	return &Caller{Name: "c", Domain: "d", Balancer: &Balancer{Instances: []*Instance{i}}, Routes: []*Route{route}, Log: &Log{},
		OnFault: func(err error) { *stray = append(*stray, err) }, Random: rand.New(rand.NewPCG(1, 1))}, stray
}

func serve(conn net.Conn, respond func(*http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := respond(request)
		fmt.Fprint(conn, text)
		if text == "" || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

// answer returns a response with the ID and a body of the stamp.
func answer(id, stamp, bodyStamp, extra string) string {
	body := payload.Make(bodyStamp, 8)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Length: 8\r\n%s\r\n%s", id, stamp, extra, body)
}

// Guards against responses that are not noticed to be wrong, and right ones that are
// taken for wrong.
func TestResponses(t *testing.T) {
	for name, c := range map[string]struct {
		respond func(id string) string
		result  Result
		fault   bool
	}{
		"right":            {func(id string) string { return answer(id, "s.1", "s.1", "") }, Complete, false},
		"other request":    {func(string) string { return answer("other", "s.1", "s.1", "") }, Complete, true},
		"no ID":            {func(string) string { return answer("", "s.1", "s.1", "") }, Complete, true},
		"no stamp":         {func(id string) string { return answer(id, "", "s.1", "") }, Complete, true},
		"other body":       {func(id string) string { return answer(id, "s.1", "s.2", "") }, Complete, true},
		"encoded":          {func(id string) string { return answer(id, "s.1", "s.1", "Content-Encoding: x\r\n") }, Complete, true},
		"other body there": {func(id string) string { return answer(id, "s.1", "s.1", "X-Body-Mismatch: 1\r\n") }, Complete, true},
		"cut": {func(id string) string {
			text := answer(id, "s.1", "s.1", "Connection: close\r\n")
			return text[:len(text)-1]
		}, Cut, false},
		"none": {func(string) string { return "" }, Cut, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, _ := newTestCaller(t, func(r *http.Request) string { return c.respond(r.Header.Get("X-Attempt-Id")) })
			a := caller.Send(t.Context(), caller.Balancer.Instances[0], caller.Routes[0], 0, time.Second)
			is.Equal(a.Result, c.result)
			is.Equal(a.Fault != "", c.fault)
			is.Equal(len(caller.Log.Attempts()), 1)
		})
	}
}

// Guards against pipelined requests behind an announced close that count as cut off or
// are not sent again, and against bytes behind the close that are not noticed.
func TestPipelinedBehindClose(t *testing.T) {
	is := is.New(t)
	caller, stray := newTestCaller(t, func(r *http.Request) string {
		text := answer(r.Header.Get("X-Attempt-Id"), "s.1", "s.1", "Connection: close\r\n")
		return text + text
	})
	for range 5 {
		caller.pipeline(t.Context())
	}
	results := map[Result]int{}
	for _, a := range caller.Log.Attempts() {
		results[a.Result]++
		is.Equal(a.Result == Unanswered, a.Ahead > 0)
	}
	is.True(results[Unanswered] > 0)
	is.Equal(len(*stray), results[Complete])
}

// Guards against non-idempotent requests that are sent again without a promise, and
// refused ones that are not.
func TestRetries(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		attempts int
	}{
		"promise":    {"HTTP/1.1 503 x\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n", maxAttempts},
		"no promise": {"HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n", 1},
		"closed":     {"", 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, _ := newTestCaller(t, func(*http.Request) string { return c.response })
			caller.Routes[0].Idempotent = false
			caller.request(t.Context(), 0)
			is.Equal(len(caller.Log.Attempts()), c.attempts)
		})
	}
}

// Guards against a load balancer that uses instances out of rotation while enough
// others are in it.
func TestPick(t *testing.T) {
	is := is.New(t)
	instances := func(ready int, other bool) []*Instance {
		var all []*Instance
		for n := range 4 {
			all = append(all, &Instance{Name: fmt.Sprint(n), Domain: "d", Ready: func() bool { return n < ready }})
		}
		return append(all, &Instance{Name: "other", Domain: "e", Ready: func() bool { return other }})
	}
	for ready, names := range map[int]string{4: "0123", 2: "01", 1: "0123"} {
		b := &Balancer{Instances: instances(ready, true)}
		picked := map[string]bool{}
		for range 100 {
			picked[b.Pick(rand.New(rand.NewPCG(rand.Uint64(), 1)), "d", nil).Name] = true
		}
		is.Equal(len(picked), len(names))
		for name := range picked {
			is.True(strings.Contains(names, name))
		}
	}
	b := &Balancer{Instances: instances(0, true)}
	is.Equal(b.Pick(rand.New(rand.NewPCG(1, 1)), "d", nil).Name, "other")
}
