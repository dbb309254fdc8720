// Package httpstore is the client of the platform's key-value store over HTTP.
// docs/interface.md describes the calls.
package httpstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// HeaderRevision carries the revision of a key, in decimal.
const HeaderRevision = "Revision"

// maxPoll bounds one long poll of a watch; the store answers when it has
// passed. pollGrace is how much later the answer may be: a store that is
// stopped, or out of reach, is noticed by its silence.
const (
	maxPoll   = 30 * time.Second
	pollGrace = 5 * time.Second
)

// maxListBytes bounds the answer to a list call.
const maxListBytes = 256 << 20

// Store is a store.Store over HTTP. Every change that the connection lost after
// a byte of it was written ends in store.ErrUncertain.
type Store struct {
	calls     caller
	maxPoll   time.Duration
	pollGrace time.Duration
}

// New returns a client of the store at base, a URL without path such as
// http://127.0.0.1:7000. It opens at most connections connections; a waiting
// watch takes one.
func New(base string, connections int) (*Store, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
		return nil, errors.Errorf("store address %q is not of the form http://host:port", base)
	}
	calls := newCaller(parsed.Scheme+"://"+parsed.Host, connections)
	return &Store{calls: calls, maxPoll: maxPoll, pollGrace: pollGrace}, nil
}

// Close closes all idle connections.
func (s *Store) Close() {
	s.calls.transport.CloseIdleConnections()
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	reply, err := s.calls.do(ctx, http.MethodGet, keyPath(key), nil, readCall)
	if err != nil {
		return store.Entry{}, err
	}
	return reply.entry(key)
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	path := "/v1/keys?prefix=" + url.QueryEscape(prefix)
	reply, err := s.calls.do(ctx, http.MethodGet, path, nil, readCall)
	if err != nil {
		return nil, err
	}
	if reply.status != http.StatusOK {
		return nil, reply.failure()
	}
	var listed []ListedEntry
	if err := json.Unmarshal(reply.body, &listed); err != nil {
		return nil, store.Fail(store.ErrUnavailable, errors.Wrap(err, "the list is not valid JSON"))
	}
	return entriesOf(listed), nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	if len(value) > store.MaxValueBytes {
		return store.Entry{}, store.ErrTooLarge
	}
	query := url.Values{"revision": {strconv.FormatUint(revision, 10)}}
	if lease != "" {
		query.Set("lease", string(lease))
	}
	reply, err := s.calls.do(ctx, http.MethodPut, keyPath(key)+"?"+query.Encode(), value, changeCall)
	if err != nil {
		return store.Entry{}, err
	}
	if reply.status == http.StatusConflict {
		return reply.conflict(key)
	}
	entry, err := reply.changedEntry(key)
	entry.Value = value
	return entry, err
}

// Watch implements store.Store by long polls.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	for {
		reply, err := s.poll(ctx, key, after)
		if ctx.Err() != nil {
			return store.Entry{}, ctx.Err()
		}
		if err != nil {
			return store.Entry{}, err
		}
		if reply.status != http.StatusNoContent {
			return reply.entry(key)
		}
	}
}

// poll asks once and waits for the answer until the poll's time and grace have passed.
func (s *Store) poll(ctx context.Context, key string, after uint64) (reply, error) {
	wait := s.maxPoll
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.pollGrace)
	defer cancel()
	return s.calls.do(ctx, http.MethodGet, watchPath(key, after, wait), nil, readCall)
}

func watchPath(key string, after uint64, wait time.Duration) string {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(max(1, wait.Milliseconds()), 10)},
	}
	return "/v1/watch/" + escapeKey(key) + "?" + query.Encode()
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	path := "/v1/leases?ttl_ms=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	reply, err := s.calls.do(ctx, http.MethodPost, path, nil, changeCall)
	if err != nil {
		return "", err
	}
	if reply.status != http.StatusOK {
		return "", reply.failure()
	}
	var granted struct {
		ID store.LeaseID `json:"id"`
	}
	if err := json.Unmarshal(reply.body, &granted); err != nil || granted.ID == "" {
		return "", store.Fail(store.ErrUncertain, errors.New("the answer names no lease"))
	}
	return granted.ID, nil
}

// Renew implements store.Store.
func (s *Store) Renew(ctx context.Context, id store.LeaseID) error {
	return s.leaseCall(ctx, http.MethodPost, leasePath(id)+"/renew")
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.leaseCall(ctx, http.MethodDelete, leasePath(id))
}

func (s *Store) leaseCall(ctx context.Context, method, path string) error {
	reply, err := s.calls.do(ctx, method, path, nil, changeCall)
	if err != nil {
		return err
	}
	if reply.status/100 == 2 {
		return nil
	}
	return reply.failure()
}

func readBody(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err == nil && len(content) > maxListBytes {
		err = errors.Errorf("the answer exceeds %d bytes", maxListBytes)
	}
	return content, err
}

var _ store.Store = (*Store)(nil)
