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

// crashMarkerScanBytes is the length of the start of a body that is searched for CrashMarker.
const crashMarkerScanBytes = 64 << 10

// HeaderCheckPayload asks the server to check that the body belongs to the request ID.
const HeaderCheckPayload = "X-Check-Payload"

// execute executes an admitted request and writes the response.
func (h *requestHandler) execute(w http.ResponseWriter, r *http.Request, c requestMeta, fault Fault) {
	index := h.logStart(c)
	h.server.report()
	answered := false
	defer func() {
		cancelled := !answered && h.incarnation.ctx.Err() == nil && r.Context().Err() != nil
		h.incarnation.running.Add(-1)
		h.server.log.End(index, time.Now(), answered, cancelled)
		h.server.report()
	}()
	if h.incarnation.cold.recordOverload(h.incarnation.running.Load()) && h.server.config.ColdStart.CrashOnOverload {
		h.crash()
	}
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if hasCrashMarker(r, content) {
		h.crash()
	}
	out := h.process(r, c, content)
	h.server.freezer.wait(h.incarnation.ctx)
	if h.incarnation.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if fault == FaultHang {
		<-r.Context().Done()
	}
	answered = h.writeResponse(w, c, out, fault)
	if answered {
		h.incarnation.cold.recordSuccess()
	}
}

// process waits for the service time and returns the response.
func (h *requestHandler) process(r *http.Request, c requestMeta, content []byte) response {
	if r.Header.Get(HeaderCheckPayload) != "" {
		if err := payload.Check(c.id, len(content), content); err != nil {
			return response{status: http.StatusBadRequest, body: []byte(err.Error())}
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	select {
	case <-time.After(h.serviceTime(r)):
		return response{status: http.StatusOK, body: payload.Make(c.id, responseSize(r))}
	case <-h.incarnation.ctx.Done():
	case <-ctx.Done():
	}
	if r.Context().Err() != nil || h.incarnation.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	return response{status: http.StatusGatewayTimeout, body: []byte("deadline passed")}
}

// serviceTime returns the time that the query asks for, or draws one from the distribution.
func (h *requestHandler) serviceTime(r *http.Request) time.Duration {
	if asked, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil && asked >= 0 {
		return time.Duration(asked) * time.Millisecond
	}
	s := h.server
	random := rand.New(rand.NewPCG(s.config.Seed, s.sequence.Add(1)))
	d := s.config.ServiceTimes.draw(random, s.config.Seed, time.Since(s.clock.start))
	return time.Duration(float64(d) * h.incarnation.cold.slowdownFactor() * float64(s.slowdownPercent.Load()) / 100)
}

func hasCrashMarker(r *http.Request, content []byte) bool {
	return strings.Contains(r.URL.Path, CrashMarker) ||
		bytes.Contains(content[:min(len(content), crashMarkerScanBytes)], []byte(CrashMarker))
}

// crash ends the incarnation from within a request, as a bug in the server would.
func (h *requestHandler) crash() {
	h.incarnation.cancel()
	go h.server.crashAndRestart()
	panic(http.ErrAbortHandler)
}
