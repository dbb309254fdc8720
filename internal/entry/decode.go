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

	"peridotmoor.org/peridotmoor/internal/hop"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// uuidVersion is the UUID version that carries its creation time (RFC 9562).
const uuidVersion = 7

// ownHeaders are between the caller and this instance.
var ownHeaders = map[string]bool{
	HeaderRequestID: true, HeaderIdempotent: true, HeaderTimeoutMS: true, HeaderOutcome: true, "Traceparent": true,
}

// decode reads the request that arrived at now. It never returns a nil request:
// on a problem the request holds what could be read, for the record.
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
	r.Path = restOf(h)
	r.KeyHash = key.HashOf(r.Key)
	for _, step := range []func(*http.Request, *request.Request) *problem.Problem{
		checkSizes, decodeIdempotent, decodeID,
	} {
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
	r.Header = endToEnd(h.Header)
	return r, decodeBody(h, r, policy)
}

// restOf returns the path and query below /{service}/{key}.
func restOf(h *http.Request) string {
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
	switch mark := h.Header.Get(HeaderIdempotent); mark {
	case "":
		r.Idempotent = h.Method == http.MethodGet || h.Method == http.MethodHead
	case "true":
		r.Idempotent = true
	case "false":
		r.Idempotent = false
	default:
		return problem.New(problem.KindBadIdempotent, outcome.StageEntry, "the idempotent mark is %q", mark)
	}
	return nil
}

// decodeID checks the request ID. An idempotent request without one gets an ID
// here, so that every request can be found in the records.
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

func endToEnd(header http.Header) textproto.MIMEHeader {
	return textproto.MIMEHeader(hop.Filter(header, func(name string) bool { return !ownHeaders[name] }))
}

// decodeBody holds small bodies in memory and leaves larger ones to be streamed.
// Its read is bounded by lack of progress and by the deadline.
func decodeBody(h *http.Request, r *request.Request, policy Policy) *problem.Problem {
	body := newProgressReader(h.Body, r.Deadline, policy.IdleTimeout)
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		return bodyProblem(err, len(head))
	}
	r.Digest = digest(r, head)
	if len(head) <= maxBufferedBytes {
		r.Buffered = head
		r.ContentLength = int64(len(head))
		return nil
	}
	r.Body = io.MultiReader(bytes.NewReader(head), body)
	if h.Header.Get(HeaderTimeoutMS) == "" {
		// A long upload is bounded by lack of progress unless the caller sets a deadline.
		r.Deadline = r.Deadline.Add(maxTimeoutMS * time.Millisecond)
		body.deadline = r.Deadline
	}
	return nil
}

// digest covers what must be equal when a request ID is used again.
func digest(r *request.Request, head []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + "\x00" + r.Path + "\x00")
	if len(head) > maxBufferedBytes {
		_, _ = d.WriteString(strconv.FormatInt(r.ContentLength, 10))
	}
	_, _ = d.Write(head[:min(len(head), digestBytes)])
	return d.Sum64()
}
