// Package record keeps what is known about each non-idempotent request, at the
// holder of its shard and at the mirrors, so that it runs at most once
// (docs/design.md section 3.6).
package record

import (
	"bytes"
	"io"
	"maps"
	"net/textproto"

	"peridotmoor.org/peridotmoor/internal/request"
)

// MaxRecordedResponseBytes is the largest answer body that a record keeps for resends.
const MaxRecordedResponseBytes = 16 << 10

// Record is the copy of one request's record that instances exchange. It is immutable.
type Record struct {
	Key    string
	ID     string
	Digest uint64
	State  State
	// Status, Header and Body hold the answer when AnswerKept is true.
	Status      int
	Header      textproto.MIMEHeader
	Body        []byte
	HasResponse bool
	// Server is the backend server that got the request.
	Server string
	// ProblemKind and Message say why the outcome is unknown.
	ProblemKind    string
	ProblemMessage string
}

func (r Record) identity() identity {
	return identity{key: r.Key, id: r.ID}
}

// response returns the kept response for a resend.
func (r Record) response() *request.Answer {
	return &request.Answer{
		RequestID:     r.ID,
		Status:        r.Status,
		Header:        maps.Clone(r.Header),
		ContentLength: int64(len(r.Body)),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		Server:        r.Server,
		Replayed:      true,
	}
}
