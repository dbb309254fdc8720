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

const (
	requestTimeout     = 2 * time.Second
	connectionsPerHost = 512
	// mismatched is the outcome of a request whose response names another request.
	mismatched = "crossed"
	// timedOut is the outcome of a request without a complete response in time, failed
	// that of one whose connection broke or whose response states no outcome.
	timedOut = "timed-out"
	failed   = "failed"
	// refused is the outcome of a request that was sent directly to a server and that
	// the server did not run.
	refused = "refused"
)

// sender sends requests without retries. It is safe for concurrent use.
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

// send sends a request and returns its outcome.
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

// classifyError returns the outcome of a request without a complete response.
func classifyError(ctx context.Context) string {
	if ctx.Err() != nil {
		return timedOut
	}
	return failed
}

func (s *sender) newRequest(ctx context.Context, to target, c call, id string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if c.write {
		// NopCloser hides the type of the reader. GetBody therefore stays unset, and
		// net/http cannot send a write twice.
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

// classifyResponse returns the outcome of a request that got a response. A refusal by a
// router includes the kind of its problem.
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

// classifyRefusal returns the outcome stated by the router and the kind of the problem,
// separated by a slash.
func classifyRefusal(statedOutcome string, content []byte) string {
	var refusal struct {
		Kind string `json:"kind"`
	}
	if statedOutcome == "" || json.Unmarshal(content, &refusal) != nil {
		return failed
	}
	return statedOutcome + "/" + refusal.Kind
}
