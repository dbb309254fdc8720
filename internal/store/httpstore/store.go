// Package httpstore is the HTTP client of the platform's key-value store.
// docs/interface.md describes the protocol.
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

// HeaderRevision is the header with the revision of a key, in decimal.
const HeaderRevision = "Revision"

// maxPoll is the duration of one long poll of a watch, after which the store responds
// without a change. pollGrace is how much longer the client waits for that response,
// which detects a store that has stopped or is unreachable.
const (
	maxPoll   = 30 * time.Second
	pollGrace = 5 * time.Second
)

// maxListBytes limits the size of the response to a list call.
const maxListBytes = 256 << 20

// Store implements store.Store over HTTP. A write whose connection fails after a byte
// of the request was written returns store.ErrUncertain.
type Store struct {
	client    httpClient
	maxPoll   time.Duration
	pollGrace time.Duration
}

// New returns a client of the store at base, a URL without a path such as
// http://127.0.0.1:7000. It opens at most connections connections, one of which each
// waiting watch occupies.
func New(base string, connections int) (*Store, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" {
		return nil, errors.Errorf("store address %q is not of the form http://host:port", base)
	}
	client := newHTTPClient(parsed.Scheme+"://"+parsed.Host, connections)
	return &Store{client: client, maxPoll: maxPoll, pollGrace: pollGrace}, nil
}

// Close closes all idle connections.
func (s *Store) Close() {
	s.client.transport.CloseIdleConnections()
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	response, err := s.client.do(ctx, http.MethodGet, keyPath(key), nil, readCall)
	if err != nil {
		return store.Entry{}, err
	}
	return response.entry(key)
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	path := "/v1/keys?prefix=" + url.QueryEscape(prefix)
	response, err := s.client.do(ctx, http.MethodGet, path, nil, readCall)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, response.failure()
	}
	var listed []ListedEntry
	if err := json.Unmarshal(response.body, &listed); err != nil {
		return nil, store.Fail(store.ErrUnavailable, errors.Wrap(err, "decode list response"))
	}
	return toEntries(listed), nil
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
	response, err := s.client.do(ctx, http.MethodPut, keyPath(key)+"?"+query.Encode(), value, writeCall)
	if err != nil {
		return store.Entry{}, err
	}
	if response.status == http.StatusConflict {
		return response.conflict(key)
	}
	entry, err := response.writtenEntry(key)
	entry.Value = value
	return entry, err
}

// Watch implements store.Store with long polling.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	for {
		response, err := s.poll(ctx, key, after)
		if ctx.Err() != nil {
			return store.Entry{}, ctx.Err()
		}
		if err != nil {
			return store.Entry{}, err
		}
		if response.status != http.StatusNoContent {
			return response.entry(key)
		}
	}
}

// poll sends one long poll and waits for its response for at most maxPoll and pollGrace.
func (s *Store) poll(ctx context.Context, key string, after uint64) (response, error) {
	wait := s.maxPoll
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.pollGrace)
	defer cancel()
	return s.client.do(ctx, http.MethodGet, watchPath(key, after, wait), nil, readCall)
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
	response, err := s.client.do(ctx, http.MethodPost, path, nil, writeCall)
	if err != nil {
		return "", err
	}
	if response.status != http.StatusOK {
		return "", response.failure()
	}
	var granted struct {
		ID store.LeaseID `json:"id"`
	}
	if err := json.Unmarshal(response.body, &granted); err != nil || granted.ID == "" {
		return "", store.Fail(store.ErrUncertain, errors.New("response without a lease ID"))
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
	response, err := s.client.do(ctx, method, path, nil, writeCall)
	if err != nil {
		return err
	}
	if response.status/100 == 2 {
		return nil
	}
	return response.failure()
}

func readBody(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err == nil && len(content) > maxListBytes {
		err = errors.Errorf("response exceeds %d bytes", maxListBytes)
	}
	return content, err
}

var _ store.Store = (*Store)(nil)
