package callerhttp

import (
	"context"
	"net/http"
)

// Handler executes requests.
type Handler interface {
	// CanPipeline reports whether the request may run concurrently with earlier
	// requests of its connection.
	CanPipeline(request *http.Request) bool
	// Handle executes the request. ctx is cancelled when the caller disconnects. The
	// response is never nil; one with Status 0 closes the connection without an answer.
	Handle(ctx context.Context, request *http.Request) *Response
}
