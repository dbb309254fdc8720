package entry

import (
	"io"
	"net/http"
	"time"
)

// limitedBody is a request body whose connection takes a read deadline.
type limitedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (b *limitedBody) setReadDeadline(at time.Time) error {
	return b.controller.SetReadDeadline(at)
}
