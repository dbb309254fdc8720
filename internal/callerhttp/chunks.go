package callerhttp

import (
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
)

// writeChunks writes a response of unknown length in chunked coding. The terminating
// chunk is sent only after the complete body, so that the caller can recognize a
// truncated response.
func writeChunks(out io.Writer, response *Response, closing bool) error {
	head := response.head(closing)
	if _, err := out.Write(head); err != nil {
		return errors.Wrap(err, "write response")
	}
	chunks := httputil.NewChunkedWriter(out)
	if _, err := chunks.Write(response.Body); err != nil {
		return errors.Wrap(err, "stream response body")
	}
	response.release()
	if _, err := io.Copy(chunks, response.Remainder); err != nil {
		return errors.Wrap(err, "stream response body")
	}
	if err := chunks.Close(); err != nil {
		return errors.Wrap(err, "end response body")
	}
	_, err := io.WriteString(out, "\r\n")
	return errors.Wrap(err, "end response body")
}
