package callerhttp

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

var (
	errInvalidHeaderName  = errors.New("header name contains invalid characters; correct the request")
	errUnsupportedVersion = errors.New("unsupported protocol version; use HTTP/1.0 or HTTP/1.1")
)

// checkRequest rejects requests that net/http accepts although another HTTP
// implementation may interpret them differently.
func checkRequest(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return errUnsupportedVersion
	}
	if !validHeaderNames(request.Header) {
		return errInvalidHeaderName
	}
	return nil
}

// mayHaveContentLength reports whether the next request's headers may include
// Content-Length. net/http ignores it beside chunked coding, but another
// implementation may use it and see the end of the request elsewhere. Headers that are
// not buffered completely are assumed to include it.
func (c *conn) mayHaveContentLength() bool {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return true
	}
	head, _, whole := bytes.Cut(buffered, []byte("\r\n\r\n"))
	return !whole || bytes.Contains(bytes.ToLower(head), []byte("content-length"))
}

// validHeaderNames reports whether all header names are tokens as defined in RFC 9110.
func validHeaderNames(header http.Header) bool {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}
