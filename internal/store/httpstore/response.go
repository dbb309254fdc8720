package httpstore

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// maxMessageBytes limits how much of an error response's body is quoted.
const maxMessageBytes = 200

// response is a complete response of the store.
type response struct {
	status int
	header http.Header
	body   []byte
	kind   callKind
}

// entry decodes the response to a read of key.
func (r response) entry(key string) (store.Entry, error) {
	if r.status != http.StatusOK {
		return store.Entry{}, r.failure()
	}
	revision, err := r.revision()
	if err != nil || revision == 0 {
		return store.Entry{}, store.Fail(store.ErrUnavailable, errors.New("response without a valid revision"))
	}
	return store.Entry{Key: key, Value: r.body, Revision: revision}, nil
}

// writtenEntry decodes the response to a successful write. It leaves Value empty: the
// response does not repeat the value.
func (r response) writtenEntry(key string) (store.Entry, error) {
	if r.status != http.StatusOK {
		return store.Entry{}, r.failure()
	}
	revision, err := r.revision()
	if err != nil || revision == 0 {
		return store.Entry{}, store.Fail(store.ErrUncertain, errors.New("response without a valid revision"))
	}
	return store.Entry{Key: key, Revision: revision}, nil
}

// conflict decodes the current entry after a revision conflict. Revision 0 means that
// the key does not exist.
func (r response) conflict(key string) (store.Entry, error) {
	revision, err := r.revision()
	if err != nil {
		return store.Entry{}, store.Fail(store.ErrConflict, err)
	}
	return store.Entry{Key: key, Value: r.body, Revision: revision}, store.ErrConflict
}

func (r response) revision() (uint64, error) {
	revision, err := strconv.ParseUint(r.header.Get(HeaderRevision), 10, 64)
	return revision, errors.Wrap(err, "header "+HeaderRevision)
}

// failure maps an HTTP status to an error. After a 5xx status it is unknown whether a
// write took effect, except for 503, which means that the call was not accepted.
func (r response) failure() error {
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
		return errors.Wrap(cause, "store call refused")
	}
}

func (r response) message() string {
	text := strings.TrimSpace(string(r.body))
	if len(text) > maxMessageBytes {
		text = text[:maxMessageBytes]
	}
	return text
}
