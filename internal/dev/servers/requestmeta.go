package servers

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
)

// requestMeta holds what the headers of a request say.
type requestMeta struct {
	id         string
	key        string
	order      backend.Order
	idempotent bool
	timeout    time.Duration
}

func readRequestMeta(r *http.Request) (requestMeta, error) {
	name, err := url.PathUnescape(r.Header.Get(backend.HeaderKey))
	if err != nil {
		return requestMeta{}, err
	}
	timeout, err := strconv.ParseInt(r.Header.Get(backend.HeaderTimeoutMS), 10, 64)
	if err != nil {
		return requestMeta{}, err
	}
	order, err := httpbackend.OrderRequest{
		Shard: r.Header.Get(backend.HeaderShard),
		Token: r.Header.Get(backend.HeaderToken),
	}.Decode()
	return requestMeta{
		id:         r.Header.Get(backend.HeaderRequestID),
		key:        name,
		order:      order,
		idempotent: r.Header.Get(backend.HeaderIdempotent) == "true",
		timeout:    time.Duration(timeout) * time.Millisecond,
	}, err
}
