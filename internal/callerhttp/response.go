package callerhttp

import (
	"io"
	"net/http"
	"strconv"

	"peridotmoor.org/peridotmoor/internal/hop"
)

// Response is what a caller gets.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder streams what follows Body of a long answer, or is nil. The server closes it.
	Remainder io.ReadCloser
	// Length is the length of Body and Rest in bytes, or -1 when unknown.
	Length int64
	// OnWriteError, when set, learns that the answer could not be written.
	OnWriteError func(error)
}

// encodeHead returns the status line and headers. closing announces the end of the connection.
func (a *Response) encodeHead(closing bool) []byte {
	out := make([]byte, 0, 256+len(a.Body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(a.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(a.Status)...)
	out = append(out, "\r\n"...)
	connection := a.Header["Connection"]
	for name, values := range a.Header {
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
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
	case a.Remainder == nil:
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(a.Body)), 10)
		out = append(out, "\r\n"...)
	case a.Length >= 0:
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, a.Length, 10)
		out = append(out, "\r\n"...)
	default:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}
