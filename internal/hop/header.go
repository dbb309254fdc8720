package hop

import (
	"net/http"
	"strings"
)

// hopByHop has the hop-by-hop headers, and the headers that are set anew on each
// connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEnd reports whether name, in canonical form, is an end-to-end header. connection
// has the values of the message's Connection header, which may list more hop-by-hop
// headers.
func EndToEnd(name string, connection []string) bool {
	if hopByHop[name] {
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

// Filter returns the end-to-end headers for which match returns true, or all of them if
// match is nil. The values are not copied.
func Filter(header http.Header, match func(name string) bool) http.Header {
	connection := header["Connection"]
	filtered := make(http.Header, len(header))
	for name, values := range header {
		if EndToEnd(name, connection) && (match == nil || match(name)) {
			filtered[name] = values
		}
	}
	return filtered
}
