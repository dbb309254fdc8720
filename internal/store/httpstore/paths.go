package httpstore

import (
	"net/url"
	"strings"

	"peridotmoor.org/peridotmoor/internal/store"
)

// escapeKey escapes each segment of the key but not the slashes between them.
func escapeKey(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

func keyPath(key string) string {
	return "/v1/keys/" + escapeKey(key)
}

func leasePath(id store.LeaseID) string {
	return "/v1/leases/" + url.PathEscape(string(id))
}
