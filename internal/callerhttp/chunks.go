package callerhttp

import (
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
)

// writeChunks writes an answer of unknown length. The last chunk is sent only
// after the whole body, so that an answer that ends early does not look whole.
func (c *conn) writeChunks(a *Response, closing bool) error {
	head := a.encodeHead(closing)
	if _, err := c.net.Write(head); err != nil {
		return errors.Wrap(err, "write the answer")
	}
	chunks := httputil.NewChunkedWriter(c.net)
	if _, err := chunks.Write(a.Body); err != nil {
		return errors.Wrap(err, "pass on a long answer")
	}
	if _, err := io.Copy(chunks, a.Remainder); err != nil {
		return errors.Wrap(err, "pass on a long answer")
	}
	if err := chunks.Close(); err != nil {
		return errors.Wrap(err, "end a long answer")
	}
	_, err := io.WriteString(c.net, "\r\n")
	return errors.Wrap(err, "end a long answer")
}
