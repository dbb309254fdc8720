package servers

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/payload"
)

// DefaultResponseBytes is the length of a response whose request asks for none.
const DefaultResponseBytes = 64

// maxResponseBytes bounds the response length that a request may ask for.
const maxResponseBytes = 16 << 20

// response is the result of an execution.
type response struct {
	status int
	body   []byte
}

// responseSize returns the response length that the query asks for.
func responseSize(r *http.Request) int {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size <= 0 {
		return DefaultResponseBytes
	}
	return min(size, maxResponseBytes)
}

// writeResponse writes out, altered by the fault, and reports whether all of it was written.
func (h *requestHandler) writeResponse(w http.ResponseWriter, c requestMeta, out response, fault Fault) bool {
	id := c.id
	switch fault {
	case FaultMismatchedResponse:
		id = uuid.NewString()
		out.body = payload.Make(id, len(out.body))
	case FaultNoRequestID:
		id = ""
	case FaultPlain503:
		out.status = http.StatusServiceUnavailable
	case FaultMismatchedRefusal:
		id = uuid.NewString()
		out.status = http.StatusServiceUnavailable
		w.Header().Set(backend.HeaderNotRun, "true")
	case FaultResetAfterExecution:
		resetConnection(w)
		return false
	case FaultResetInHeader, FaultResetInBody, FaultTruncatedBody, FaultNoLength:
		writeFaulty(w, h.responseHead(id, out, fault), out.body, fault)
		return false
	}
	if id != "" {
		w.Header().Set(backend.HeaderRequestID, id)
	}
	w.Header().Set(backend.HeaderIncarnation, h.incarnation.id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(out.body)))
	w.WriteHeader(out.status)
	_, err := w.Write(out.body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	return err == nil
}

// responseHead returns the status line and header of a response that bypasses net/http.
func (h *requestHandler) responseHead(id string, out response, fault Fault) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", out.status, http.StatusText(out.status),
		backend.HeaderRequestID, id, backend.HeaderIncarnation, h.incarnation.id)
	if fault == FaultNoLength {
		return head + "Connection: close\r\n\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(out.body))
}

// writeFaulty writes an incomplete or unframed response and ends the connection.
func writeFaulty(w http.ResponseWriter, head string, body []byte, fault Fault) {
	c, ok := hijack(w)
	if !ok {
		return
	}
	switch fault {
	case FaultResetInHeader:
		_, _ = c.Write([]byte(head[:len(head)/2]))
		c.reset()
	case FaultResetInBody:
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

// hijack takes over the connection from net/http.
func hijack(w http.ResponseWriter) (*conn, bool) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, false
	}
	c, ok := raw.(*conn)
	return c, ok
}
