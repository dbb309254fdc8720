package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// The bounds of the requests of a run.
const (
	requestTimeout     = 2 * time.Second
	connectionsPerHost = 512
	// mismatched counts answers that name another request.
	mismatched = "crossed"
	// timedOut counts requests without an answer in time, failed those whose connection broke.
	timedOut = "timed-out"
	failed   = "failed"
	// refused counts answers of a server that did not run the request, sent directly.
	refused = "refused"
)

// sender sends single requests, without retries.
type sender struct {
	transport *http.Transport
	body      []byte
}

func newSender(bodyBytes int) *sender {
	return &sender{
		transport: &http.Transport{MaxConnsPerHost: connectionsPerHost, MaxIdleConnsPerHost: connectionsPerHost, DisableCompression: true},
		body:      bytes.Repeat([]byte("x"), bodyBytes),
	}
}

// send sends a request and returns what became of it.
func (s *sender) send(ctx context.Context, to target, c call) string {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	id := uuid.Must(uuid.NewV7()).String()
	request, err := s.newRequest(ctx, to, c, id)
	if err != nil {
		return failed
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return classifyError(ctx)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return classifyError(ctx)
	}
	return classifyResponse(response, content, to, id)
}

// classifyError names why a request has no whole answer.
func classifyError(ctx context.Context) string {
	if ctx.Err() != nil {
		return timedOut
	}
	return failed
}

func (s *sender) newRequest(ctx context.Context, to target, c call, id string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if c.write {
		// A reader that is not replayable keeps net/http from sending an order twice.
		method, body = http.MethodPost, io.NopCloser(bytes.NewReader(s.body))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.address+"/"+c.service+"/"+c.key+"/bench", body)
	if err != nil {
		return nil, err
	}
	if c.write {
		request.ContentLength = int64(len(s.body))
	}
	request.Header.Set(backend.HeaderRequestID, id)
	request.Header.Set(backend.HeaderIdempotent, strconv.FormatBool(!c.write))
	request.Header.Set(backend.HeaderTimeoutMS, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if to.shard != "" {
		request.Header.Set(backend.HeaderKey, c.key)
		request.Header.Set(backend.HeaderShard, to.shard)
		request.Header.Set(backend.HeaderToken, "1.1")
	}
	return request, nil
}

// classifyResponse names what became of an answered request. A refusal is named with
// the kind of its problem.
func classifyResponse(response *http.Response, content []byte, to target, id string) string {
	if to.shard != "" && response.StatusCode != http.StatusOK {
		return refused
	}
	if to.shard == "" && response.Header.Get(backend.HeaderOutcome) != string(outcome.Answered) {
		return classifyRefusal(response.Header.Get(backend.HeaderOutcome), content)
	}
	if response.Header.Get(backend.HeaderRequestID) != id {
		return mismatched
	}
	return string(outcome.Answered)
}

// classifyRefusal returns the claimed outcome and the kind of the problem.
func classifyRefusal(statedOutcome string, content []byte) string {
	var refusal struct {
		Kind string `json:"kind"`
	}
	if statedOutcome == "" || json.Unmarshal(content, &refusal) != nil {
		return failed
	}
	return statedOutcome + "/" + refusal.Kind
}
