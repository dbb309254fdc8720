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
func readResponse(response *request.Response, method string) (content []byte, body io.Reader, complete bool, err error) {
	if hasNoBody(response, method) {
		return nil, nil, true, nil
	}
	if response.ContentLength > MaxBufferedResponseBytes {
		return nil, response.Body, false, nil
	}
	if response.ContentLength >= 0 {
		content = make([]byte, response.ContentLength)
		_, err = io.ReadFull(response.Body, content)
		return content, nil, true, truncationError(err)
	}
	content, err = io.ReadAll(io.LimitReader(response.Body, MaxBufferedResponseBytes+1))
	if err != nil {
		return nil, nil, false, truncationError(err)
	}
	if len(content) <= MaxBufferedResponseBytes {
		return content, nil, true, nil
	}
	return nil, io.MultiReader(bytes.NewReader(content), response.Body), false, nil
}

// hasNoBody reports whether the response ends after its header section, whatever
// Content-Length says (RFC 9110, section 6.4.1).
func hasNoBody(response *request.Response, method string) bool {
	return method == http.MethodHead || response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
}

// truncationError turns an end of the body before the announced length, which
// io.ReadFull reports as io.EOF when no byte came, into io.ErrUnexpectedEOF.
func truncationError(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return errors.WithStack(err)
}
