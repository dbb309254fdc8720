package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"peridotmoor.org/peridotmoor/internal/hop"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Sizes of the buffers between holder and caller.
const (
	maxBufferedResponseBytes = 256 << 10
	copyBufferBytes          = 32 << 10
)

// writeRefusal writes a problem as a typed refusal.
func (h *Handler) writeRefusal(w http.ResponseWriter, r *request.Request, p *problem.Problem) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(p.Outcome))
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderInstance, h.instance)
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if r.Streamed() || p.Stage == outcome.StageEntry {
		// The remainder of the body is not read, so the connection cannot be reused.
		header.Set("Connection", "close")
	}
	if p.Kind == problem.KindUnauthorized {
		header.Set("WWW-Authenticate", authorizationScheme) // required by RFC 9110, section 11.6.1
	}
	w.WriteHeader(statusOf(p))
	// A failed write means that the caller has disconnected; the refusal is logged.
	_ = json.NewEncoder(w).Encode(refusalOf(r, p))
}

// writeResponse writes the response of a backend server. It returns a problem if the
// caller did not get the complete response; abort then reports that the connection must
// be closed, because no refusal could be written.
func (h *Handler) writeResponse(w http.ResponseWriter, r *request.Request, response *request.Response) (p *problem.Problem, abort bool) {
	defer response.Body.Close()
	start, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
	if err != nil {
		p := problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten, "the answer of %s broke off after %d bytes", response.Server, len(start))
		h.writeRefusal(w, r, p)
		return p, false
	}
	h.writeHeader(w, r, response, len(start))
	if _, err := w.Write(start); err != nil {
		return problem.Wrap(err, problem.KindCallerGone, outcome.StageWritten, "the caller left before its answer was written"), true
	}
	if len(start) <= maxBufferedResponseBytes {
		return nil, false
	}
	if _, err := io.CopyBuffer(w, response.Body, make([]byte, copyBufferBytes)); err != nil {
		return problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten, "the answer of %s broke off while it was streamed", response.Server), true
	}
	return nil, false
}

func (h *Handler) writeHeader(w http.ResponseWriter, r *request.Request, response *request.Response, buffered int) {
	header := w.Header()
	connection := response.Header["Connection"]
	for name, values := range response.Header {
		if hop.EndToEnd(name, connection) && !entryHeaders[name] && name != headerIncarnation {
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, string(outcome.Answered))
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderInstance, h.instance)
	header.Set(HeaderServer, response.Server)
	if response.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	switch {
	case r.Method == http.MethodHead:
	case buffered <= maxBufferedResponseBytes:
		header.Set("Content-Length", strconv.Itoa(buffered))
	case response.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.Status)
}
