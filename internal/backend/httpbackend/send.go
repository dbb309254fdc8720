package httpbackend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/responsehead"
	"peridotmoor.org/peridotmoor/internal/wire"
)

// maxRefusalBytes limits the body of a refusal. Refusals say little.
const maxRefusalBytes = 64 << 10

// Send implements backend.Server. If Send fails while a streamed body is being
// read, that read may end only after Send has returned.
func (s *Server) Send(ctx context.Context, order backend.Order, r *request.Request) (*request.Response, error) {
	var attempt wire.Attempt
	ctx, cancel := context.WithCancel(attempt.Context(ctx))
	message, err := s.encode(ctx, order, r)
	if err != nil {
		cancel()
		return nil, err
	}
	if r.Resent {
		// The server may write its refusal of an earlier sending, with the same ID, once more.
		s.requests.CloseIdleConnections()
	}
	response, err := s.requests.RoundTrip(message)
	if err != nil {
		failure := s.classifyFailure(ctx, r, attempt.Written(), err)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The server process has ended. Idle connections to it may still look usable.
			s.control.CloseIdleConnections()
		}
		return nil, failure
	}
	result, err := s.decode(ctx, r, response)
	if err != nil {
		// Cancelling before the body is closed keeps the connection from returning to the idle pool.
		cancel()
		_ = response.Body.Close()
		return nil, err
	}
	result.Body = &body{content: response.Body, cancel: cancel}
	return result, nil
}

// classifyFailure returns the problem of a request without a response. The stage
// depends on whether any byte of the request was written.
func (s *Server) classifyFailure(ctx context.Context, r *request.Request, written bool, cause error) error {
	stage := outcome.StageConnect
	kind := problem.KindConnectFailed
	what := "no byte was sent"
	if written {
		stage = outcome.StageWritten
		kind = problem.KindAnswerLost
		what = "the answer was lost after the request was sent"
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = problem.KindDeadlinePassed
	case ctx.Err() != nil:
		kind = problem.KindCallerGone
	}
	return problem.Wrap(cause, kind, stage, "request %s to server %s at %s: %s", r.ID, s.name, s.address, what)
}

// decode checks that the response is a final one, that it belongs to the request and that its
// end can be recognized, and converts it.
func (s *Server) decode(ctx context.Context, r *request.Request, response *http.Response) (*request.Response, error) {
	if !responsehead.IsFinalStatus(response.StatusCode) {
		return nil, problem.New(problem.KindAnswerLost, outcome.StageWritten,
			"server %s answered request %s with status %03d, which no final response has; correct the server", s.name, r.ID, response.StatusCode)
	}
	ids := response.Header.Values(backend.HeaderRequestID)
	if len(ids) != 1 || ids[0] != r.ID {
		return nil, problem.New(problem.KindAnswerCrossed, outcome.StageWritten,
			"server %s answered request %s with request ID %q", s.name, r.ID, ids)
	}
	if notRun(response) {
		return nil, s.decodeRefusal(ctx, r, response)
	}
	if !hasBodyEnd(response) {
		return nil, problem.New(problem.KindAnswerShort, outcome.StageWritten,
			"server %s answered request %s without a length, so a short answer would go unnoticed", s.name, r.ID)
	}
	return &request.Response{
		RequestID:     r.ID,
		Status:        response.StatusCode,
		Header:        responseHeader(response.Header),
		ContentLength: response.ContentLength,
		Server:        s.name,
	}, nil
}

// decodeRefusal reads a refusal to its end and returns its problem. One that is not
// complete, or may never be, does not prove that the request was not run.
func (s *Server) decodeRefusal(ctx context.Context, r *request.Request, response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return s.classifyFailure(ctx, r, true, err)
	case err != nil || n > maxRefusalBytes:
		return problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten,
			"server %s refused request %s with a response that did not end within %d bytes", s.name, r.ID, maxRefusalBytes)
	}
	return problem.New(problem.KindShed, outcome.StageRefusedByServer,
		"server %s refused request %s before running it", s.name, r.ID).WithRetryAfter(retryAfter(response))
}

func notRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(backend.HeaderNotRun) == "true"
}

// hasBodyEnd reports whether the end of the body is given by its length or a last chunk.
func hasBodyEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
}

// retryAfter returns the delay of the Retry-After header, which must be in seconds, or 0.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
