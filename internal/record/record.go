// Package record keeps a record of each non-idempotent request, at the holder of its
// shard and at the mirrors, so that the request runs at most once
// (docs/design.md section 3.6).
package record

import (
	"bytes"
	"io"
	"maps"
	"net/textproto"

	"peridotmoor.org/peridotmoor/internal/request"
)

// MaxRecordedResponseBytes is the largest response body that a record keeps for resends.
const MaxRecordedResponseBytes = 16 << 10

// Record is the record of one request, as instances exchange it. It is immutable.
type Record struct {
	Key    string
	ID     string
	Digest uint64
	State  State
	// Execution counts the executions of the request at its holders: one that was proven
	// not to have run may be sent again.
	Execution uint32
	// Status, Header and Body are the recorded response if HasResponse is true.
	Status      int
	Header      textproto.MIMEHeader
	Body        []byte
	HasResponse bool
	// Server is the backend server to which the request was dispatched.
	Server string
	// ProblemKind and ProblemMessage say why the request did not run or its outcome is unknown.
	ProblemKind    string
	ProblemMessage string
}

func (r Record) identity() identity {
	return identity{key: r.Key, id: r.ID}
}

// response returns the recorded response, marked as replayed.
func (r Record) response() *request.Response {
	return &request.Response{
		RequestID:     r.ID,
		Status:        r.Status,
		Header:        maps.Clone(r.Header),
		ContentLength: int64(len(r.Body)),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		Server:        r.Server,
		Replayed:      true,
	}
}

// supersedes reports whether r says more of the request than other: it concerns a later
// execution, or a later state of the same one. Copies may arrive late and in any order.
func (r Record) supersedes(other Record) bool {
	if r.Execution != other.Execution {
		return r.Execution > other.Execution
	}
	return r.State.isAfter(other.State)
}
