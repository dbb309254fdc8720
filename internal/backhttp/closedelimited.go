package backhttp

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// closeDelimitedBody is the body of a response that ends with its connection. The end of
// the stream is its end only if the server ended the connection in order. A write of the
// request that is in progress, or has failed, may have been told of a reset in place of the
// read.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *conn
}

// isCloseDelimited reports whether the body of the response ends with its connection.
func isCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// Read returns io.ErrUnexpectedEOF where the connection was reset.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.writtenWhole.Load() && sockopt.WasReset(b.conn.net) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
