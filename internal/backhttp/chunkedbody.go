package backhttp

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// chunkLineBytes is room for the size of a chunk in hexadecimal and its end of line.
const chunkLineBytes = 16

// chunkedBody encodes a body of unknown length in chunked transfer coding while it is read.
type chunkedBody struct {
	source io.Reader
	buffer []byte
	// encoded is the part of buffer that has not been read.
	encoded []byte
	// err ends the body after encoded.
	err error
}

// NewChunkedBody returns the chunked encoding of start and what follows it in remainder.
func NewChunkedBody(start []byte, remainder io.Reader) io.Reader {
	return &chunkedBody{source: io.MultiReader(bytes.NewReader(start), remainder)}
}

// Read implements io.Reader.
func (c *chunkedBody) Read(p []byte) (int, error) {
	for len(c.encoded) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		c.encode()
	}
	n := copy(p, c.encoded)
	c.encoded = c.encoded[n:]
	return n, nil
}

// encode reads the next chunk, or the end of the body.
func (c *chunkedBody) encode() {
	if c.buffer == nil {
		c.buffer = make([]byte, copyBufferBytes)
	}
	n, err := c.source.Read(c.buffer[chunkLineBytes : len(c.buffer)-len("\r\n")])
	if n > 0 {
		size := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
		begin := chunkLineBytes - len(size)
		copy(c.buffer[begin:], size)
		c.encoded = append(c.buffer[begin:chunkLineBytes+n], "\r\n"...)
	}
	if errors.Is(err, io.EOF) {
		c.encoded = append(c.encoded, "0\r\n\r\n"...)
	}
	c.err = err
}
