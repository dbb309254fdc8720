package backhttp

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// bufferedBody is the body of a response, or the start of one that is too long to buffer.
type bufferedBody struct {
	bytes []byte
	// whole is set if bytes is the complete body.
	whole bool
	// reserved is the memory that it has taken.
	reserved int64
}

// readBuffered reads the body of the response. It buffers up to maxBufferedBytes, but only
// up to smallBodyBytes while holding gets no more memory. If it fails, it has taken nothing.
func readBuffered(response *http.Response, holding *membudget.Holding) (bufferedBody, error) {
	if response.Body == http.NoBody { // also if a length is stated, as in responses to HEAD
		return bufferedBody{whole: true}, nil
	}
	body, err := readStart(response, holding)
	if err != nil {
		holding.Return(membudget.ResponseBodies, body.reserved)
		return bufferedBody{}, errors.Wrap(err, "truncated response")
	}
	return body, nil
}

func readStart(response *http.Response, holding *membudget.Holding) (body bufferedBody, err error) {
	length, limit := response.ContentLength, int64(smallBodyBytes)
	if length > limit && length <= maxBufferedBytes && holding.Take(membudget.ResponseBodies, bufferedCopies*length) {
		limit, body.reserved = length, bufferedCopies*length
	}
	if length > 0 && length <= limit {
		body.bytes, body.whole = make([]byte, length), true
		_, err = io.ReadFull(response.Body, body.bytes)
		return body, err
	}
	body.bytes, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	body.whole = int64(len(body.bytes)) <= limit
	if err != nil || body.whole || length >= 0 || !holding.Take(membudget.ResponseBodies, bufferedCopies*maxBufferedBytes) {
		return body, err
	}
	body.reserved = bufferedCopies * maxBufferedBytes
	rest, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes-limit))
	body.bytes = append(body.bytes, rest...)
	body.whole = len(body.bytes) <= maxBufferedBytes
	return body, err
}
