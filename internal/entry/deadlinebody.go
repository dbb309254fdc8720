package entry

import (
	"io"
	"net/http"
	"time"
)

// deadlineBody is a request body whose connection supports a read deadline.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (b *deadlineBody) setReadDeadline(at time.Time) error {
	return b.controller.SetReadDeadline(at)
}
