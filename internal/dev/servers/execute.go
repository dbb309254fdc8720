package servers

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/payload"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// markedBytes is how much of a body is searched for CrashMarker.
const markedBytes = 64 << 10

// HeaderCheckPayload asks the server to check that the body belongs to the request ID.
const HeaderCheckPayload = "X-Check-Payload"

// run runs an admitted request and answers it.
func (h *requestHandler) run(w http.ResponseWriter, r *http.Request, c call, fault Fault) {
	place := h.begin(c)
	h.server.report()
	answered := false
	defer func() {
		cancelled := !answered && h.life.ctx.Err() == nil && r.Context().Err() != nil
		h.life.running.Add(-1)
		h.server.log.End(place, time.Now(), answered, cancelled)
		h.server.report()
	}()
	if h.life.cold.overloads(h.life.running.Load()) && h.server.config.ColdStart.CrashOnOverload {
		h.crash()
	}
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if marked(r, content) {
		h.crash()
	}
	reply := h.work(r, c, content)
	h.server.freezer.wait(h.life.ctx)
	if h.life.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if fault == FaultHang {
		<-r.Context().Done()
	}
	answered = h.answer(w, c, reply, fault)
	if answered {
		h.life.cold.succeed()
	}
}

// work takes the service time and returns the answer.
func (h *requestHandler) work(r *http.Request, c call, content []byte) reply {
	if r.Header.Get(HeaderCheckPayload) != "" {
		if err := payload.Check(c.id, len(content), content); err != nil {
			return reply{status: http.StatusBadRequest, body: []byte(err.Error())}
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	select {
	case <-time.After(h.serviceTime(r)):
		return reply{status: http.StatusOK, body: payload.Make(c.id, sizeOf(r))}
	case <-h.life.ctx.Done():
	case <-ctx.Done():
	}
	if r.Context().Err() != nil || h.life.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	return reply{status: http.StatusGatewayTimeout, body: []byte("deadline passed")}
}

// serviceTime draws how long the request takes, or returns what its query asks for.
func (h *requestHandler) serviceTime(r *http.Request) time.Duration {
	if asked, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil && asked >= 0 {
		return time.Duration(asked) * time.Millisecond
	}
	s := h.server
	random := rand.New(rand.NewPCG(s.config.Seed, s.sequence.Add(1)))
	d := s.config.ServiceTimes.duration(random, s.config.Seed, time.Since(s.clock.start))
	return time.Duration(float64(d) * h.life.cold.factor() * float64(s.slow.Load()) / 100)
}

func marked(r *http.Request, content []byte) bool {
	return strings.Contains(r.URL.Path, CrashMarker) ||
		bytes.Contains(content[:min(len(content), markedBytes)], []byte(CrashMarker))
}

// crash ends the incarnation from within a request, as a bug in the server does.
func (h *requestHandler) crash() {
	h.life.end()
	go h.server.crashAndRestart()
	panic(http.ErrAbortHandler)
}
