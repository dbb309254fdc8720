package servers

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/payload"
)

// DefaultResponseBytes is the length of an answer whose request names none.
const DefaultResponseBytes = 64

// maxAnswerBytes bounds the length that a request may ask for.
const maxAnswerBytes = 16 << 20

// reply is the answer of a run.
type reply struct {
	status int
	body   []byte
}

// sizeOf returns the answer length that the query asks for.
func sizeOf(r *http.Request) int {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size <= 0 {
		return DefaultResponseBytes
	}
	return min(size, maxAnswerBytes)
}

// answer writes the reply with the fault and reports whether the whole answer was written.
func (h *requestHandler) answer(w http.ResponseWriter, c call, out reply, fault Fault) bool {
	id := c.id
	switch fault {
	case FaultMismatchedResponse:
		id = uuid.NewString()
		out.body = payload.Make(id, len(out.body))
	case FaultNoID:
		id = ""
	case FaultPlain503:
		out.status = http.StatusServiceUnavailable
	case FaultForeignRefusal:
		id = uuid.NewString()
		out.status = http.StatusServiceUnavailable
		w.Header().Set(backend.HeaderNotRun, "true")
	case FaultResetRun:
		resetConnection(w)
		return false
	case FaultResetHeader, FaultResetBody, FaultTruncatedBody, FaultNoLength:
		writeBroken(w, h.head(id, out, fault), out.body, fault)
		return false
	}
	if id != "" {
		w.Header().Set(backend.HeaderRequestID, id)
	}
	w.Header().Set(backend.HeaderIncarnation, h.life.incarnation)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(out.body)))
	w.WriteHeader(out.status)
	_, err := w.Write(out.body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	return err == nil
}

// head returns the status line and header of an answer that is written by hand.
func (h *requestHandler) head(id string, out reply, fault Fault) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", out.status, http.StatusText(out.status),
		backend.HeaderRequestID, id, backend.HeaderIncarnation, h.life.incarnation)
	if fault == FaultNoLength {
		return head + "Connection: close\r\n\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(out.body))
}

// writeBroken writes a part of an answer and ends the connection.
func writeBroken(w http.ResponseWriter, head string, body []byte, fault Fault) {
	c, ok := hijack(w)
	if !ok {
		return
	}
	switch fault {
	case FaultResetHeader:
		_, _ = c.Write([]byte(head[:len(head)/2]))
		c.reset()
	case FaultResetBody:
		_, _ = c.Write(append([]byte(head), body[:len(body)/2]...))
		c.reset()
	case FaultTruncatedBody:
		_, _ = c.Write(append([]byte(head), body[:len(body)/2]...))
		_ = c.Close()
	default:
		_, _ = c.Write(append([]byte(head), body...))
		_ = c.Close()
	}
}

func resetConnection(w http.ResponseWriter) {
	if c, ok := hijack(w); ok {
		c.reset()
	}
}

// hijack takes the connection over from net/http.
func hijack(w http.ResponseWriter) (*conn, bool) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, false
	}
	c, ok := raw.(*conn)
	return c, ok
}
