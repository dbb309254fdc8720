package httpstore

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// dialTimeout bounds the time to connect. A connection within a region takes about 1 ms.
const dialTimeout = time.Second

// caller sends one HTTP request per call and never sends one twice.
type caller struct {
	base      string
	transport *http.Transport
}

func newCaller(base string, connections int) caller {
	dialer := &wire.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	return caller{base: base, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}
}

// do sends the call and returns the whole reply. A failure before the first
// byte was written, and any failure of a read, is store.ErrUnavailable; after
// it, a change is store.ErrUncertain.
func (c caller) do(ctx context.Context, method, path string, content []byte, kind callKind) (reply, error) {
	var attempt wire.Attempt
	ctx = httptrace.WithClientTrace(ctx, attempt.Trace())
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return reply{}, errors.Wrapf(err, "store call %s %s", method, path)
	}
	// A body without GetBody keeps net/http from sending the request again by itself.
	request.Body = io.NopCloser(bytes.NewReader(content))
	request.ContentLength = int64(len(content))
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return reply{}, failure(kind, attempt.Written(), err)
	}
	defer answer.Body.Close()
	body, err := readBody(answer.Body)
	if err != nil {
		return reply{}, failure(kind, true, err)
	}
	return reply{status: answer.StatusCode, header: answer.Header, body: body, kind: kind}, nil
}

func failure(kind callKind, written bool, cause error) error {
	if kind == changeCall && written {
		return store.Fail(store.ErrUncertain, cause)
	}
	return store.Fail(store.ErrUnavailable, cause)
}
