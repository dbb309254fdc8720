package httpbackend

import (
	"net/http"
	"net/textproto"
	"strings"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// ownPrefix starts the headers that this system sets itself.
const ownPrefix = "Peridotmoor-"

// perConnection lists the headers that concern one connection only (RFC 9110, section 7.6.1).
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of header without the headers of one connection and
// without the system's own.
func endToEnd(header http.Header) http.Header {
	copied := make(http.Header, len(header)+8)
	for name, values := range header {
		if !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), ownPrefix) {
			copied[name] = values
		}
	}
	for _, name := range named(header.Values("Connection")) {
		copied.Del(name)
	}
	for _, name := range perConnection {
		copied.Del(name)
	}
	return copied
}

// named splits the header names that a Connection header lists.
func named(values []string) []string {
	var names []string
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// answerHeader keeps the server's incarnation, from which the holder infers a restart.
func answerHeader(header http.Header) textproto.MIMEHeader {
	kept := endToEnd(header)
	if incarnation := header.Get(backend.HeaderIncarnation); incarnation != "" {
		kept.Set(backend.HeaderIncarnation, incarnation)
	}
	return textproto.MIMEHeader(kept)
}
