package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/ports"
	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

// keyCount is the number of keys of a keyed service.
const keyCount = 65536

// incarnation is one run of a server's process.
type incarnation struct {
	id        string
	config    Config
	startedAt time.Time
	log       *runlog.Log
	owners    *Owners
	// address is where instances reach the server: that of the proxy, if it has one.
	address string
	// reserved holds the address of the proxy, on which nothing listens after the crash.
	reserved *ports.Reservation
	proxy    *tcpproxy.Proxy
	http     *http.Server
	// ctx ends when the process crashes.
	ctx     context.Context
	end     context.CancelFunc
	slots   chan struct{}
	waiting atomic.Int64
	// leaving servers say so in their responses, draining ones in their entry too.
	leaving  atomic.Bool
	draining atomic.Bool
	// limit is the rate limit, in requests/s, that the responses name, or nil.
	limit    atomic.Pointer[float64]
	shedding atomic.Pointer[shedding]
	arrivals *Arrivals
	sequence atomic.Int64

	mu     sync.Mutex
	grants []keyGrant // by key
	// released is closed and replaced when a request of a key ends.
	released chan struct{}
}

func startIncarnation(id string, config Config, log *runlog.Log, owners *Owners, arrivals *Arrivals) (*incarnation, error) {
	buffer := 0
	if config.AnswersEarly {
		buffer = receiveBuffers[config.Seed%uint64(len(receiveBuffers))]
	}
	listener, err := listenSmall(buffer)
	if err != nil {
		return nil, errors.Wrapf(err, "backend server %s", id)
	}
	reserved, err := ports.Reserve(1)
	if err != nil {
		return nil, err
	}
	i := &incarnation{
		id: id, config: config, reserved: reserved, startedAt: time.Now(), log: log, owners: owners, arrivals: arrivals,
		proxy:    tcpproxy.New(reserved.Addresses[0], listener.Addr().String(), config.Seed, config.Sources),
		slots:    make(chan struct{}, config.Slots),
		released: make(chan struct{}),
	}
	if i.address = i.proxy.Address(); config.AnswersEarly {
		i.address = listener.Addr().String()
	}
	if config.Keyed {
		i.grants = make([]keyGrant, keyCount)
		owners.add(i)
	}
	i.ctx, i.end = context.WithCancel(context.Background())
	i.http = &http.Server{Handler: i}
	go func() { _ = i.http.Serve(listener) }() // ends with the server
	return i, i.proxy.Open()
}

// crash ends the incarnation like the end of its process.
func (i *incarnation) crash() {
	i.owners.remove(i)
	i.end()
	i.proxy.Close()
	_ = i.http.Close()
	i.reserved.Release()
}

// startKey counts a request of the key if the incarnation owns the key, and returns its grant before that.
func (i *incarnation) startKey(key int, now time.Time) (keyGrant, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	grant := i.grants[key]
	if !grant.validAt(now) {
		return grant, false
	}
	i.grants[key].running++
	i.grants[key].lastStart = now
	return grant, true
}

func (i *incarnation) endKey(key int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.grants[key].running--
	close(i.released)
	i.released = make(chan struct{})
}

func (i *incarnation) keyGrant(key int) keyGrant {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.grants[key]
}

// grantExpired reports whether the grant of the key has expired, so that running requests fail.
func (i *incarnation) grantExpired(key int) bool {
	grant := i.keyGrant(key)
	return !grant.validAt(time.Now()) && !grant.released
}
