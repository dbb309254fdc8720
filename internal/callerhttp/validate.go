package callerhttp

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var (
	errInvalidHeaderName  = errors.New("a header's name holds characters that are not allowed; correct the request")
	errUnsupportedVersion = errors.New("only HTTP/1.0 and HTTP/1.1 are spoken here; use one of them")
)

// checkRequest returns what net/http lets pass though the next reader may
// understand it otherwise, or nil.
func checkRequest(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return errUnsupportedVersion
	}
	if !validHeaderNames(request.Header) {
		return errInvalidHeaderName
	}
	return nil
}

// mayHaveContentLength reports whether the next request's headers may hold a length.
// net/http drops a length beside chunks, but two readers of such a request may
// differ about where it ends. Headers that are not buffered whole may hold one.
func (c *conn) mayHaveContentLength() bool {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return true
	}
	head, _, whole := bytes.Cut(buffered, []byte("\r\n\r\n"))
	return !whole || bytes.Contains(bytes.ToLower(head), []byte("content-length"))
}

// validHeaderNames reports whether all names are tokens of RFC 9110.
func validHeaderNames(header http.Header) bool {
	for name := range header {
		for i := range len(name) {
			if !isTokenByte(name[i]) {
				return false
			}
		}
	}
	return true
}

func isTokenByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
