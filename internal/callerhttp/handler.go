package callerhttp

import (
	"context"
	"net/http"
)

// Handler runs requests.
type Handler interface {
	// CanPipeline reports whether the request may run while earlier ones of its
	// connection do.
	CanPipeline(request *http.Request) bool
	// Handle runs the request. ctx ends when the caller has left. It never returns
	// nil; an answer with Status 0 closes the connection unanswered.
	Handle(ctx context.Context, request *http.Request) *Response
}
