package httpstore

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/responsehead"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// dialTimeout limits the time to connect. Connecting within a region takes about 1 ms.
const dialTimeout = time.Second

// httpClient sends one HTTP request per call and never resends it.
type httpClient struct {
	base      string
	transport *http.Transport
}

func newHTTPClient(base string, connections int) httpClient {
	dialer := &wire.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	return httpClient{base: base, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}
}

// do sends the call and returns the complete response. The failure of a read is
// store.ErrUnavailable. So is the failure of a write before its first byte was
// written; after that byte it is store.ErrUncertain.
func (c httpClient) do(ctx context.Context, method, path string, content []byte, kind callKind) (response, error) {
	var attempt wire.Attempt
	ctx = attempt.Context(ctx)
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return response{}, errors.Wrapf(err, "store call %s %s", method, path)
	}
	// Without GetBody, net/http cannot resend the request on its own.
	request.Body = io.NopCloser(bytes.NewReader(content))
	request.ContentLength = int64(len(content))
	httpResponse, err := c.transport.RoundTrip(request)
	if err != nil {
		return response{}, failure(kind, attempt.Written(), err)
	}
	defer httpResponse.Body.Close()
	if !responsehead.IsFinalStatus(httpResponse.StatusCode) {
		return response{}, failure(kind, true, errors.Errorf("malformed response: status %03d", httpResponse.StatusCode))
	}
	body, err := readBody(httpResponse.Body)
	if err != nil {
		return response{}, failure(kind, true, err)
	}
	return response{status: httpResponse.StatusCode, header: httpResponse.Header, body: body, kind: kind}, nil
}

func failure(kind callKind, written bool, cause error) error {
	if kind == writeCall && written {
		return store.Fail(store.ErrUncertain, cause)
	}
	return store.Fail(store.ErrUnavailable, cause)
}
