package callerhttp

import (
	"io"
	"net/http"
	"strconv"

	"peridotmoor.org/peridotmoor/internal/hop"
)

// Response is an HTTP response to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder streams the part of a long body that follows Body, or is nil. The server
	// closes it, also while it is read, when the caller has disconnected.
	Remainder io.ReadCloser
	// Length is the total length of Body and Remainder in bytes, or -1 when unknown. It
	// is used only with a Remainder or an omitted body.
	Length int64
	// BodyOmitted is set if the response has no body because of its status or because it
	// answers HEAD. Length is then that of the body that is left out.
	BodyOmitted bool
	// OnWriteError, when set, is called when the response could not be written completely.
	OnWriteError func(error)
	// OnDone, when set, is called once when Header and Body are no longer used: Remainder may
	// take much longer.
	OnDone func()
}

// notifyReceived closes received once the response cannot break off any more because of its
// server.
func (r *Response) notifyReceived(received chan struct{}) {
	switch {
	case r.Remainder != nil:
		r.Remainder = &receivedBody{ReadCloser: r.Remainder, onEnd: func() { close(received) }}
	case r.Status != 0:
		close(received)
	}
}

// reportUnwritten calls OnWriteError for a response that should have been written.
func (r *Response) reportUnwritten(err error) {
	if r.Status != 0 && r.OnWriteError != nil {
		r.OnWriteError(err)
	}
}

// release gives up Header and Body, and calls OnDone once.
func (r *Response) release() {
	r.Header, r.Body = nil, nil
	if f := r.OnDone; f != nil {
		r.OnDone = nil
		f()
	}
}

// head returns the status line and the headers, with "Connection: close" if
// closing is set. Its capacity has room for Body.
func (r *Response) head(closing bool) []byte {
	out := make([]byte, 0, 256+len(r.Body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(r.Status)...)
	out = append(out, "\r\n"...)
	connection := r.Header["Connection"]
	for name, values := range r.Header {
		if !hop.EndToEnd(name, connection) {
			continue
		}
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	length := int64(len(r.Body))
	if r.Remainder != nil || r.BodyOmitted {
		length = r.Length
	}
	switch {
	case r.Status == http.StatusNoContent, r.Status == http.StatusNotModified && !r.BodyOmitted:
	case length >= 0:
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, length, 10)
		out = append(out, "\r\n"...)
	case !r.BodyOmitted:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}
