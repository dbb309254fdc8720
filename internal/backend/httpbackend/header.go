package httpbackend

import (
	"net/http"
	"net/textproto"
	"strings"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/hop"
)

// ownPrefix starts the headers that this system sets itself.
const ownPrefix = "Peridotmoor-"

// endToEnd returns a copy of header without the headers of one connection and
// without the system's own.
func endToEnd(header http.Header) http.Header {
	return hop.Keep(header, func(name string) bool {
		return !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), ownPrefix)
	})
}

// responseHeader keeps the server's incarnation, from which the holder infers a restart.
func responseHeader(header http.Header) textproto.MIMEHeader {
	kept := endToEnd(header)
	if incarnation := header.Get(backend.HeaderIncarnation); incarnation != "" {
		kept.Set(backend.HeaderIncarnation, incarnation)
	}
	return textproto.MIMEHeader(kept)
}
