package entry

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Handler serves requests of callers over HTTP.
type Handler struct {
	instance   string
	policies   Policies
	next       request.Handler
	observer   Observer
	checkReady func(deadline time.Time) *problem.Problem
	router     *mux.Router
}

// New returns a handler that passes requests to next. checkReady returns the reason why
// the instance does not accept a request with the given deadline, or nil.
func New(instance string, policies Policies, next request.Handler, observer Observer, checkReady func(deadline time.Time) *problem.Problem) *Handler {
	h := &Handler{instance: instance, policies: policies, next: next, observer: observer, checkReady: checkReady}
	h.router = mux.NewRouter().SkipClean(true)
	h.router.HandleFunc("/{service}/{key}/{rest:.*}", h.serve)
	h.router.HandleFunc("/{service}/{key}", h.serve)
	h.router.NotFoundHandler = http.HandlerFunc(h.serve)
	return h
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

func (h *Handler) serve(w http.ResponseWriter, in *http.Request) {
	start := time.Now()
	if in.Body != http.NoBody {
		in.Body = &deadlineBody{ReadCloser: in.Body, controller: http.NewResponseController(w)}
	}
	ctx := h.observer.Arrived(in)
	req, p := decode(in, h.policies, start)
	req.Entry = h.instance
	if p == nil {
		p = h.checkReady(req.Deadline)
	}
	if p != nil {
		h.observer.Refused(ctx, req, p, time.Since(start))
		h.writeRefusal(w, req, p)
		return
	}
	response, err := h.next.Handle(ctx, req)
	if err != nil {
		p := problem.From(err)
		h.observer.Completed(ctx, req, p.Outcome, p, time.Since(start))
		h.writeRefusal(w, req, p)
		return
	}
	p, abort := h.writeResponse(w, req, response)
	if p != nil {
		h.observer.Completed(ctx, req, p.Outcome, p, time.Since(start))
		if abort {
			// Closes the connection, so that a truncated response is not mistaken for a
			// complete one.
			panic(http.ErrAbortHandler)
		}
		return
	}
	h.observer.Completed(ctx, req, outcome.Answered, nil, time.Since(start))
}
