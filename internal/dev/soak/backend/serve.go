package backend

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/payload"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
)

// HealthPath is the path of the health check.
const HealthPath = "/health"

// HeaderLeaving is set in all responses of a leaving server, headerLimit in those of one
// that takes only so many requests/s from all instances together.
const (
	HeaderLeaving = "Server-Leaving"
	headerLimit   = "Server-Limit"
)

// headerNotExecuted marks a response to a request that was not run.
const headerNotExecuted = "X-Not-Executed"

// ServeHTTP serves requests, grants, releases and health checks.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", len(i.slots), i.waiting.Load(), i.config.Slots))
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if i.leaving.Load() {
		w.Header().Set(HeaderLeaving, "1")
	}
	if limit := i.limit.Load(); limit != nil {
		w.Header().Set(headerLimit, strconv.FormatFloat(*limit, 'f', -1, 64))
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != i.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if i.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/grant", "/release":
		i.serveOrder(w, r)
	case HealthPath:
		w.Header().Set("X-Instance-Id", i.id)
		if i.leaving.Load() || i.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	default:
		i.serveRequest(w, r)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

func (i *incarnation) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	timeout, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if id == "" || err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	key := -1
	if i.config.Keyed {
		if key, err = strconv.Atoi(r.Header.Get("X-Shard-Key")); err != nil || key < 0 || key >= keyCount {
			refuse(w, http.StatusBadRequest)
			return
		}
		if grant := i.keyGrant(key); !grant.validAt(time.Now()) {
			refuse(w, http.StatusMisdirectedRequest)
			return
		}
	}
	if i.shed(w, id) {
		return
	}
	i.arrivals.add(Arrival{RequestID: id, Server: i.id, Domain: i.config.Domain, At: time.Now()})
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeout*float64(time.Millisecond)))
	defer cancel()
	if !i.awaitSlot(ctx) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-i.slots }()
	if key >= 0 {
		if !i.owners.start(i, key, id) {
			refuse(w, http.StatusMisdirectedRequest)
			return
		}
		defer i.endKey(key)
	}
	index := i.log.Begin(runlog.Execution{
		RequestID: id, Service: i.config.Service, Key: strconv.Itoa(key), Server: i.id, Incarnation: i.id,
		Idempotent: r.Method == http.MethodGet, TimeoutMS: int64(timeout), Start: time.Now(),
	})
	answered := false
	defer func() {
		i.log.End(index, time.Now(), answered, !answered && i.ctx.Err() == nil && r.Context().Err() != nil)
	}()
	answered = i.run(ctx, w, r, key, fmt.Sprintf("%s.%d", i.id, index))
}

// shed turns the request away if the server sheds and the draw is against it.
func (i *incarnation) shed(w http.ResponseWriter, id string) bool {
	shedding := i.shedding.Load()
	if shedding == nil || rand.Float64() >= shedding.share {
		return false
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(shedding.pause.Seconds(), 'f', 3, 64))
	refuse(w, http.StatusServiceUnavailable)
	i.arrivals.add(Arrival{RequestID: id, Server: i.id, Domain: i.config.Domain, At: time.Now(), Pause: shedding.pause})
	return true
}

// awaitSlot waits for a slot. It returns false if the queue is full or the request's
// time is up.
func (i *incarnation) awaitSlot(ctx context.Context) bool {
	select {
	case i.slots <- struct{}{}:
		return true
	default:
	}
	defer i.waiting.Add(-1)
	if i.waiting.Add(1) > int64(i.config.Slots) {
		return false
	}
	select {
	case i.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// run runs a request and reports whether its complete response was written. The query
// says how long the work takes and how long the body of the response is. The body is
// bound to the stamp, which names the server and the index of the run in the log.
func (i *incarnation) run(ctx context.Context, w http.ResponseWriter, r *http.Request, key int, stamp string) bool {
	if i.config.AnswersEarly && r.Body != http.NoBody {
		return i.answerEarly(w, r, stamp)
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Stamp", stamp)
	if len(content) > 0 && payload.Check(r.Header.Get("X-Attempt-Id"), len(content), content) != nil {
		w.Header().Set(HeaderBodyMismatch, "1")
	}
	work, size := queryInt(r, "work_ms"), queryInt(r, "size")
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-i.ctx.Done():
	case <-ctx.Done():
	}
	if i.ctx.Err() != nil || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return true
	}
	if key >= 0 && i.grantExpired(key) {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	body := payload.Make(stamp, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = w.Write(body)
	return err == nil && http.NewResponseController(w).Flush() == nil
}

// HeaderBodyMismatch marks the response to a request whose body is not its caller's.
const HeaderBodyMismatch = "X-Body-Mismatch"

func queryInt(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
