package callerhttp

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var (
	errImproperName = errors.New("a header's name holds characters that are not allowed; correct the request")
	errVersion      = errors.New("only HTTP/1.0 and HTTP/1.1 are spoken here; use one of them")
)

// improper returns what net/http lets pass though the next reader may
// understand it otherwise, or nil.
func improper(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return errVersion
	}
	if !properNames(request.Header) {
		return errImproperName
	}
	return nil
}

// mayGiveLength reports whether the next request's headers may hold a length.
// net/http drops a length beside chunks, but two readers of such a request may
// differ about where it ends. Headers that are not buffered whole may hold one.
func (c *conn) mayGiveLength() bool {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return true
	}
	head, _, whole := bytes.Cut(buffered, []byte("\r\n\r\n"))
	return !whole || bytes.Contains(bytes.ToLower(head), []byte("content-length"))
}

// properNames reports whether all names are tokens of RFC 9110.
func properNames(header http.Header) bool {
	for name := range header {
		for i := range len(name) {
			if !tokenByte(name[i]) {
				return false
			}
		}
	}
	return true
}

func tokenByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
