package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/hop"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// uuidVersion is the required version of request IDs. UUIDs of this version contain
// their creation time (RFC 9562).
const uuidVersion = 7

// entryHeaders are the headers between the caller and this instance, which are not
// forwarded.
var entryHeaders = map[string]bool{
	HeaderRequestID: true, HeaderIdempotent: true, HeaderTimeoutMS: true, HeaderOutcome: true, "Traceparent": true,
}

// decode decodes and checks a request that arrived at now. The returned request is never
// nil: with a problem it contains what could be decoded, for the log.
func decode(h *http.Request, policies Policies, now time.Time) (*request.Request, *problem.Problem) {
	r := &request.Request{
		ID:            h.Header.Get(HeaderRequestID),
		Service:       mux.Vars(h)["service"],
		Key:           mux.Vars(h)["key"],
		Method:        h.Method,
		ContentLength: h.ContentLength,
		Deadline:      now,
		TraceParent:   h.Header.Get("Traceparent"),
	}
	r.Path = pathBelowKey(h)
	r.KeyHash = key.HashOf(r.Key)
	if p := checkSizes(h, r); p != nil {
		return r, p
	}
	r.Credential = credential.Parse(authorizationScheme, h.Header[headerAuthorization])
	sender, known := policies.Authenticate(r.Credential, r.Service)
	if !known {
		return r, problem.New(problem.KindNotReady, outcome.StageEntry, "the instance has no settings yet")
	}
	if sender.Refusal != "" {
		return r, problem.New(problem.KindUnauthorized, outcome.StageEntry, "%s", sender.Refusal)
	}
	r.Team, r.HidesCredential = sender.Team, sender.KeysRequired
	for _, step := range []func(*http.Request, *request.Request) *problem.Problem{decodeIdempotent, decodeID} {
		if p := step(h, r); p != nil {
			return r, p
		}
	}
	policy, known := policies.Lookup(r.Service, r.Key)
	if !known {
		return r, problem.New(problem.KindUnknownService, outcome.StageEntry, "service %q is not in the settings tree", r.Service)
	}
	if p := decodeDeadline(h, r, now, policy); p != nil {
		return r, p
	}
	r.Header = endToEndHeaders(h.Header, sender.KeysRequired)
	return r, decodeBody(h, r, policy)
}

// pathBelowKey returns the path and query below /{service}/{key}.
func pathBelowKey(h *http.Request) string {
	rest := "/" + mux.Vars(h)["rest"]
	if h.URL.RawQuery != "" {
		rest += "?" + h.URL.RawQuery
	}
	return rest
}

func checkSizes(h *http.Request, r *request.Request) *problem.Problem {
	if r.Key == "" {
		return problem.New(problem.KindMissingKey, outcome.StageEntry, "the path %q has no key", h.URL.Path)
	}
	if len(r.Key) > maxKeyBytes {
		return problem.New(problem.KindHeaderTooLarge, outcome.StageEntry, "the key has %d bytes, at most %d are allowed", len(r.Key), maxKeyBytes)
	}
	if len(r.Path) > maxPathBytes {
		return problem.New(problem.KindHeaderTooLarge, outcome.StageEntry, "the path has %d bytes, at most %d are allowed", len(r.Path), maxPathBytes)
	}
	size := 0
	for name, values := range h.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	if size > maxHeaderBytes {
		return problem.New(problem.KindHeaderTooLarge, outcome.StageEntry, "the headers have %d bytes, at most %d are allowed", size, maxHeaderBytes)
	}
	return nil
}

func decodeIdempotent(h *http.Request, r *request.Request) *problem.Problem {
	switch value := h.Header.Get(HeaderIdempotent); value {
	case "":
		r.Idempotent = h.Method == http.MethodGet || h.Method == http.MethodHead
	case "true":
		r.Idempotent = true
	case "false":
		r.Idempotent = false
	default:
		return problem.New(problem.KindBadIdempotent, outcome.StageEntry, "the idempotent mark is %q", value)
	}
	return nil
}

// decodeID checks the request ID. An idempotent request without an ID is assigned one, so
// that every request can be found in the log.
func decodeID(_ *http.Request, r *request.Request) *problem.Problem {
	if r.ID == "" {
		if !r.Idempotent {
			return problem.New(problem.KindMissingID, outcome.StageEntry, "a request that is not idempotent has no request ID")
		}
		r.ID = uuid.Must(uuid.NewV7()).String()
		return nil
	}
	id, err := uuid.Parse(r.ID)
	if err != nil {
		return problem.Wrap(err, problem.KindBadID, outcome.StageEntry, "the request ID %.64q is not a UUID", r.ID)
	}
	if id.Version() != uuidVersion {
		return problem.New(problem.KindBadID, outcome.StageEntry, "the request ID %s has UUID version %d", id, id.Version())
	}
	r.ID = id.String()
	return nil
}

func decodeDeadline(h *http.Request, r *request.Request, now time.Time, policy Policy) *problem.Problem {
	text := h.Header.Get(HeaderTimeoutMS)
	if text == "" {
		r.Deadline = now.Add(policy.Timeout)
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeoutMS {
		return problem.New(problem.KindBadDeadline, outcome.StageEntry, "the timeout %.32q is not a whole number of milliseconds from 1 to %d", text, maxTimeoutMS)
	}
	r.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// endToEndHeaders returns the headers that are forwarded. hidesSender leaves out those from
// which a server could learn, or misread, who sends the request.
func endToEndHeaders(header http.Header, hidesSender bool) textproto.MIMEHeader {
	return textproto.MIMEHeader(hop.Filter(header, func(name string) bool {
		return !entryHeaders[name] && !(hidesSender && (hop.SameName(name, headerAuthorization) || hop.SameName(name, backend.HeaderTeam)))
	}))
}

// decodeBody buffers small bodies in memory and sets larger ones up for streaming. Its
// reads fail at the idle timeout or at the deadline.
func decodeBody(h *http.Request, r *request.Request, policy Policy) *problem.Problem {
	body := newIdleTimeoutReader(h.Body, r.Deadline, policy.IdleTimeout)
	start, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		return bodyProblem(err, len(start))
	}
	r.Digest = digest(r, start)
	if len(start) <= maxBufferedBytes {
		r.Buffered = start
		r.ContentLength = int64(len(start))
		return nil
	}
	r.Body = io.MultiReader(bytes.NewReader(start), body)
	if h.Header.Get(HeaderTimeoutMS) == "" {
		// A long upload without a deadline set by the caller is limited by the idle
		// timeout, so its deadline is extended by the longest timeout.
		r.Deadline = r.Deadline.Add(maxTimeoutMS * time.Millisecond)
		body.deadline = r.Deadline
	}
	return nil
}

// digest returns a hash of what must be equal when a request ID is used again: method,
// path, team and body, or the length and start of a large body.
func digest(r *request.Request, start []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + "\x00" + r.Path + "\x00")
	if r.Team != "" {
		_, _ = d.WriteString(r.Team + "\x00")
	}
	if len(start) > maxBufferedBytes {
		_, _ = d.WriteString(strconv.FormatInt(r.ContentLength, 10))
	}
	_, _ = d.Write(start[:min(len(start), maxDigestedBytes)])
	return d.Sum64()
}
