package entry

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// idleTimeoutReader reads a caller's body. A read fails if no byte arrives within
// idleTimeout, or at the deadline.
type idleTimeoutReader struct {
	body        io.ReadCloser
	deadline    time.Time
	idleTimeout time.Duration
	setDeadline func(time.Time) error
}

// newIdleTimeoutReader returns a reader of body. Its reads have no timeout unless body is
// a deadlineBody.
func newIdleTimeoutReader(body io.ReadCloser, deadline time.Time, idleTimeout time.Duration) *idleTimeoutReader {
	r := &idleTimeoutReader{body: body, deadline: deadline, idleTimeout: idleTimeout}
	if limited, ok := body.(*deadlineBody); ok {
		r.setDeadline = limited.setReadDeadline
	}
	return r
}

// Read renews the read deadline of the connection and reads. It removes the deadline at
// the end of the body: net/http continues to read in order to detect that the caller
// disconnects, and would mistake an expired deadline for that, which cancels all later
// requests of the connection.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	if r.setDeadline == nil {
		return r.body.Read(p)
	}
	limit := time.Now().Add(r.idleTimeout)
	if r.deadline.Before(limit) {
		limit = r.deadline
	}
	_ = r.setDeadline(limit)
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		_ = r.setDeadline(time.Time{})
		r.setDeadline = nil
	}
	return n, err
}

// bodyProblem maps a failed read of the caller's body to a refusal.
func bodyProblem(err error, read int) *problem.Problem {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return problem.Wrap(err, problem.KindStalled, outcome.StageEntry, "the upload made no progress after %d bytes", read)
	}
	return problem.Wrap(err, problem.KindBadBody, outcome.StageEntry, "the body broke off after %d bytes", read)
}
