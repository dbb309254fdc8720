package httpbackend

import (
	"net/http"
	"net/textproto"
	"strings"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/hop"
)

// ownPrefix is the prefix of the headers that peridotmoor sets itself.
const ownPrefix = "Peridotmoor-"

// endToEnd returns a copy of header without hop-by-hop headers and without the
// headers that peridotmoor sets itself.
func endToEnd(header http.Header) http.Header {
	return hop.Filter(header, func(name string) bool {
		return !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), ownPrefix)
	})
}

// responseHeader returns the end-to-end headers and the server's incarnation, by
// which the holder detects a restart.
func responseHeader(header http.Header) textproto.MIMEHeader {
	kept := endToEnd(header)
	if incarnation := header.Get(backend.HeaderIncarnation); incarnation != "" {
		kept.Set(backend.HeaderIncarnation, incarnation)
	}
	return textproto.MIMEHeader(kept)
}
