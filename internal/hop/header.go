package hop

import (
	"net/http"
	"strings"
)

// single holds the headers that concern one connection only, and those that each
// connection sets anew.
var single = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEnd reports whether a header in canonical form goes from end to end.
// connection holds the values of the message's Connection header, which may name
// more headers of the connection.
func EndToEnd(name string, connection []string) bool {
	if single[name] {
		return false
	}
	for _, list := range connection {
		for listed := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), name) {
				return false
			}
		}
	}
	return true
}

// Filter returns the headers that go from end to end and for which and, if it is not
// nil, returns true. The values are shared.
func Filter(header http.Header, and func(name string) bool) http.Header {
	connection := header["Connection"]
	kept := make(http.Header, len(header))
	for name, values := range header {
		if EndToEnd(name, connection) && (and == nil || and(name)) {
			kept[name] = values
		}
	}
	return kept
}
