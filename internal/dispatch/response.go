package dispatch

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/request"
)

// readResponse buffers the body of a response of up to MaxBufferedResponseBytes.
// For a larger one complete is false, and body yields the entire body.
func readResponse(a *request.Response, method string) (content []byte, body io.Reader, complete bool, err error) {
	if hasNoBody(a, method) {
		return nil, nil, true, nil
	}
	if a.ContentLength > MaxBufferedResponseBytes {
		return nil, a.Body, false, nil
	}
	if a.ContentLength >= 0 {
		content = make([]byte, a.ContentLength)
		_, err = io.ReadFull(a.Body, content)
		return content, nil, true, truncationError(err)
	}
	content, err = io.ReadAll(io.LimitReader(a.Body, MaxBufferedResponseBytes+1))
	if err != nil {
		return nil, nil, false, truncationError(err)
	}
	if len(content) <= MaxBufferedResponseBytes {
		return content, nil, true, nil
	}
	return nil, io.MultiReader(bytes.NewReader(content), a.Body), false, nil
}

// hasNoBody reports whether the response ends after its header section, whatever
// Content-Length says (RFC 9110, section 6.4.1).
func hasNoBody(a *request.Response, method string) bool {
	return method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
}

// truncationError turns an end of the body before the announced length, which
// io.ReadFull reports as io.EOF when no byte came, into io.ErrUnexpectedEOF.
func truncationError(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return errors.WithStack(err)
}
