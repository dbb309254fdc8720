package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/payload"
	"peridotmoor.org/peridotmoor/internal/dev/servers"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// maxResponseBytes limits how much of a response body a caller reads.
const maxResponseBytes = 64 << 20

// Client sends single attempts and checks the responses.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that opens at most connections connections per instance.
func NewClient(connections int) *Client {
	dialer := &wire.Dialer{Dialer: net.Dialer{Timeout: time.Second}}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Send sends one attempt. It returns the result and the wait before the next
// attempt that the response advises.
func (c *Client) Send(ctx context.Context, entry *EntryInstance, id, key string, kind RequestKind) (Attempt, time.Duration) {
	result := Attempt{Entry: entry.CallerAddress}
	var attempt wire.Attempt
	request := newRequest(attempt.Context(ctx), entry, id, key, kind)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		result.Sent = attempt.Written()
		result.Error = err.Error()
		return result, 0
	}
	defer response.Body.Close()
	result.Sent = true
	result.Status = response.StatusCode
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		result.Error = err.Error()
		return result, 0
	}
	return classifyResponse(result, response, content, id, kind)
}

// classifyResponse records in result what a complete response says about the request.
func classifyResponse(result Attempt, response *http.Response, content []byte, id string, kind RequestKind) (Attempt, time.Duration) {
	result.Outcome = outcome.Outcome(response.Header.Get(backend.HeaderOutcome))
	switch result.Outcome {
	case outcome.Answered:
		result.MismatchedResponse = isMismatched(response, content, id, kind)
		return result, 0
	case outcome.NotRun, outcome.Unknown:
		var refused refusal
		if err := json.Unmarshal(content, &refused); err != nil {
			result.Error = "the refusal is not valid JSON: " + err.Error()
		}
		result.ProblemKind = refused.Kind
		return result, time.Duration(refused.RetryAfterMS) * time.Millisecond
	default:
		result.Error = "the response has no known outcome: " + string(result.Outcome)
		result.Outcome = ""
		return result, 0
	}
}

// isMismatched reports whether a response belongs to another request or its body is incomplete.
func isMismatched(response *http.Response, content []byte, id string, kind RequestKind) bool {
	if response.Header.Get(backend.HeaderRequestID) != id {
		return true
	}
	if response.StatusCode != http.StatusOK {
		return false
	}
	return payload.Check(id, kind.responseBytes(), content) != nil
}

func newRequest(ctx context.Context, entry *EntryInstance, id, key string, kind RequestKind) *http.Request {
	target := "http://" + entry.CallerAddress + "/" + kind.Service + "/" + key + kind.Path
	if kind.ResponseBytes > 0 {
		target += "?size=" + strconv.Itoa(kind.ResponseBytes)
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, target, nil)
	if err != nil {
		panic("callers: request target " + target + ": " + err.Error())
	}
	// A body without GetBody prevents net/http from resending the request on its own.
	request.Body = io.NopCloser(bytes.NewReader(nil))
	if kind.BodyBytes > 0 {
		content := payload.Make(id, kind.BodyBytes)
		request.Body = io.NopCloser(bytes.NewReader(content))
		request.ContentLength = int64(len(content))
		request.Header.Set(servers.HeaderCheckPayload, "1")
	}
	request.Header.Set(backend.HeaderRequestID, id)
	request.Header.Set(backend.HeaderIdempotent, strconv.FormatBool(kind.Idempotent()))
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		request.Header.Set(backend.HeaderTimeoutMS, strconv.FormatInt(left, 10))
	}
	return request
}
