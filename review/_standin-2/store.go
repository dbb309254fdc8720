package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, as PROTOCOL.md spells it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision"`
	Lease          int64  `json:"lease"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store stands for the platform's metadata store. It loses nothing, and answers at once.
type store struct {
	mu       sync.Mutex
	items    map[string]*item
	leases   map[int64]*lease
	revision int64
	nextID   int64
	changed  chan struct{}
	// delay, if set, returns what to do with a call: it may wait, and return false for no answer.
	delay func(r *http.Request) bool
}

func newStore() *store {
	s := &store{items: map[string]*item{}, leases: map[int64]*lease{}, revision: 1, nextID: 70000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			delete(s.items, k)
			s.revision++
			s.notify()
		}
	}
}

func (s *store) put(key string, value []byte, lease int64) {
	s.revision++
	it := s.items[key]
	if it == nil {
		it = &item{Key: key, CreateRevision: s.revision}
		s.items[key] = it
	}
	next := *it
	next.Value, next.Revision, next.Lease = value, s.revision, lease
	s.items[key] = &next
	s.notify()
}

// Put writes a key as the operator or an upstream does.
func (s *store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, text, 0)
}

// Delete removes a key.
func (s *store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		delete(s.items, key)
		s.revision++
		s.notify()
	}
}

// Value returns the value of a key, or nil.
func (s *store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		return it.Value
	}
	return nil
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d := s.delay; d != nil && !d(r) {
		if h, ok := w.(http.Hijacker); ok {
			if c, _, err := h.Hijack(); err == nil {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				_ = c.Close()
			}
		}
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case r.URL.Path == "/kv-key":
		it := s.items[q.Get("key")]
		if it == nil {
			reply(w, 404, map[string]any{"store_revision": s.revision})
			return
		}
		reply(w, 200, struct {
			item
			StoreRevision int64 `json:"store_revision"`
		}{*it, s.revision})
	case r.URL.Path == "/kv-range":
		var keys []string
		for k := range s.items {
			if strings.HasPrefix(k, q.Get("path_prefix")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		more := len(keys) > 500
		if more {
			keys = keys[:500]
		}
		items := []item{}
		for _, k := range keys {
			items = append(items, *s.items[k])
		}
		reply(w, 200, map[string]any{"items": items, "more_pages": more, "store_revision": s.revision})
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		deadline := time.After(time.Duration(wait) * time.Millisecond)
		for {
			events := []item{}
			for k, it := range s.items {
				if strings.HasPrefix(k, q.Get("path_prefix")) && it.Revision > after {
					events = append(events, *it)
				}
			}
			changed := s.changed
			if len(events) > 0 {
				reply(w, 200, map[string]any{"events": events, "store_revision": s.revision})
				return
			}
			s.mu.Unlock()
			done := false
			select {
			case <-changed:
				// a deletion is told as the end of the watch, which may be cut
				s.mu.Lock()
				gone := true
				for k := range s.items {
					gone = gone && !strings.HasPrefix(k, q.Get("path_prefix"))
				}
				s.mu.Unlock()
				done = gone
			case <-deadline:
				done = true
			case <-r.Context().Done():
				done = true
			}
			s.mu.Lock()
			if done {
				reply(w, 200, map[string]any{"events": events, "store_revision": s.revision})
				return
			}
		}
	case r.URL.Path == "/kv-txn":
		var txn struct {
			Precondition []struct {
				Key      string `json:"key"`
				Revision int64  `json:"revision"`
			} `json:"precondition"`
			Puts []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
				Lease int64  `json:"lease"`
			} `json:"puts"`
			Remove []string `json:"remove"`
		}
		if json.NewDecoder(r.Body).Decode(&txn) != nil {
			reply(w, 400, struct{}{})
			return
		}
		ok, current := true, []item{}
		for _, p := range txn.Precondition {
			it := s.items[p.Key]
			if it != nil {
				current = append(current, *it)
			}
			ok = ok && (it == nil && p.Revision == 0 || it != nil && it.Revision == p.Revision)
		}
		if !ok {
			reply(w, 412, map[string]any{"items": current})
			return
		}
		for _, p := range txn.Puts {
			if p.Lease != 0 && s.leases[p.Lease] == nil {
				reply(w, 404, struct{}{})
				return
			}
		}
		for _, p := range txn.Puts {
			s.put(p.Key, p.Value, p.Lease)
		}
		reply(w, 200, map[string]any{"revision": s.revision})
	case r.URL.Path == "/kv-lease":
		var l struct {
			TTL float64 `json:"ttl_s_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&l)
		s.nextID++
		ttl := time.Duration(l.TTL * float64(time.Second))
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease": s.nextID, "ttl_s_time": l.TTL})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, 404, struct{}{})
			return
		}
		l.end = time.Now().Add(l.ttl)
		reply(w, 200, map[string]any{"ttl_s_time": l.ttl.Seconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			reply(w, 404, struct{}{})
			return
		}
		s.endLease(id)
		reply(w, 200, struct{}{})
	default:
		reply(w, 400, struct{}{})
	}
}
