package callerhttp

import (
	"context"
	"net/http"
	"time"
)

// Handler executes requests.
type Handler interface {
	// Traits returns how the request may share its connection.
	Traits(request *http.Request) Traits
	// Handle executes the request, whose head had been read at arrivedAt: it may have waited for
	// earlier requests of its connection since. ctx is cancelled when the caller disconnects, with the
	// cause context.Canceled, or can't be answered as an earlier response on the connection
	// was not completed, with a cause that says so. The response is never nil; one with
	// Status 0 closes the connection without an answer and cancels the requests behind it.
	Handle(ctx context.Context, request *http.Request, arrivedAt time.Time) *Response
}
