package httpbackend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// encode builds the HTTP request. To keep net/http from resending the request by
// itself, the request never has GetBody and its body is never http.NoBody:
// net/http resends only requests whose body is empty or can be rewound.
func (s *Server) encode(ctx context.Context, order backend.Order, r *request.Request) (*http.Request, error) {
	left := time.Until(r.Deadline)
	if left < time.Millisecond {
		return nil, problem.New(problem.KindDeadlinePassed, outcome.StageConnect,
			"the deadline of request %s passed before it was sent to server %s", r.ID, s.name)
	}
	target, err := requestURL(s.address, r.Path)
	if err != nil || r.ID == "" {
		return nil, problem.Wrap(err, problem.KindInternal, outcome.StageConnect,
			"request %q with path %q cannot be sent to server %s", r.ID, r.Path, s.name)
	}
	message := &http.Request{
		Method: r.Method,
		URL:    target,
		Host:   s.address,
		// Without the protocol version net/http does not wait for "100 Continue".
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        requestHeader(r, order, left),
		Body:          io.NopCloser(requestBody(r)),
		ContentLength: requestLength(r),
	}
	return message.WithContext(ctx), nil
}

func requestURL(address, path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errors.Wrap(err, "path of the request")
	}
	target.Scheme = "http"
	target.Host = address
	return target, nil
}

func requestBody(r *request.Request) io.Reader {
	if r.Streamed() {
		return r.Body
	}
	return bytes.NewReader(r.Buffered)
}

func requestLength(r *request.Request) int64 {
	if r.Streamed() {
		return r.ContentLength
	}
	return int64(len(r.Buffered))
}

func requestHeader(r *request.Request, order backend.Order, left time.Duration) http.Header {
	header := endToEnd(http.Header(r.Header))
	header.Set(backend.HeaderRequestID, r.ID)
	header.Set(backend.HeaderKey, url.PathEscape(r.Key))
	header.Set(backend.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	header.Set(backend.HeaderTimeoutMS, strconv.FormatInt(left.Milliseconds(), 10))
	header.Set(backend.HeaderShard, order.Shard.String())
	header.Set(backend.HeaderToken, order.Token.String())
	if r.Team != "" {
		header.Set(backend.HeaderTeam, r.Team)
	}
	if r.TraceParent != "" {
		header.Set(backend.HeaderTraceParent, r.TraceParent)
	}
	if r.Streamed() {
		// A server that refuses a request closes the connection without reading a
		// large body. The reset can then arrive before the refusal is read, so the
		// body is sent only after the server accepts it.
		header.Set("Expect", "100-continue")
	}
	if header.Get("User-Agent") == "" {
		// With an empty value net/http does not add its own User-Agent.
		header.Set("User-Agent", "")
	}
	return header
}
