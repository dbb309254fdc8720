package httpstore

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// maxMessageBytes bounds how much of an error body is quoted.
const maxMessageBytes = 200

// reply is a whole answer of the store.
type reply struct {
	status int
	header http.Header
	body   []byte
	kind   callKind
}

// entry reads the answer to a read.
func (r reply) entry(key string) (store.Entry, error) {
	if r.status != http.StatusOK {
		return store.Entry{}, r.failure()
	}
	revision, err := r.revision()
	if err != nil || revision == 0 {
		return store.Entry{}, store.Fail(store.ErrUnavailable, errors.New("the answer has no revision"))
	}
	return store.Entry{Key: key, Value: r.body, Revision: revision}, nil
}

// changedEntry reads the answer to an accepted change; the value is the caller's own.
func (r reply) changedEntry(key string) (store.Entry, error) {
	if r.status != http.StatusOK {
		return store.Entry{}, r.failure()
	}
	revision, err := r.revision()
	if err != nil || revision == 0 {
		return store.Entry{}, store.Fail(store.ErrUncertain, errors.New("the answer has no revision"))
	}
	return store.Entry{Key: key, Revision: revision}, nil
}

// conflict reads the entry that another writer left. Revision 0 means that the key does not exist.
func (r reply) conflict(key string) (store.Entry, error) {
	revision, err := r.revision()
	if err != nil {
		return store.Entry{}, store.Fail(store.ErrConflict, err)
	}
	return store.Entry{Key: key, Value: r.body, Revision: revision}, store.ErrConflict
}

func (r reply) revision() (uint64, error) {
	revision, err := strconv.ParseUint(r.header.Get(HeaderRevision), 10, 64)
	return revision, errors.Wrap(err, "header "+HeaderRevision)
}

// failure maps a status to a typed error. A server error after a change leaves
// open whether it took effect, but for 503, which says that it was not taken.
func (r reply) failure() error {
	cause := errors.Errorf("status %d: %s", r.status, r.message())
	switch {
	case r.status == http.StatusNotFound:
		return store.ErrNotFound
	case r.status == http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case r.status == http.StatusServiceUnavailable:
		return store.Fail(store.ErrUnavailable, cause)
	case r.status >= 500:
		return failure(r.kind, true, cause)
	default:
		return errors.Wrap(cause, "the store refused the call")
	}
}

func (r reply) message() string {
	text := strings.TrimSpace(string(r.body))
	if len(text) > maxMessageBytes {
		text = text[:maxMessageBytes]
	}
	return text
}
