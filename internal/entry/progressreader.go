package entry

import (
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// progressReader reads a caller's body and fails when no byte arrives for idle.
type progressReader struct {
	body     io.ReadCloser
	deadline time.Time
	idle     time.Duration
	setLimit func(time.Time) error
}

// newProgressReader bounds reads of body. setReadDeadline is wired by the
// handler through the body when the connection supports it.
func newProgressReader(body io.ReadCloser, deadline time.Time, idle time.Duration) *progressReader {
	r := &progressReader{body: body, deadline: deadline, idle: idle}
	if limited, ok := body.(*limitedBody); ok {
		r.setLimit = limited.setReadDeadline
	}
	return r
}

// Read moves the connection's read deadline on and reads.
func (r *progressReader) Read(p []byte) (int, error) {
	if r.setLimit != nil {
		limit := time.Now().Add(r.idle)
		if r.deadline.Before(limit) {
			limit = r.deadline
		}
		_ = r.setLimit(limit)
	}
	return r.body.Read(p)
}

// bodyProblem maps a failed read of the caller's body to a refusal.
func bodyProblem(err error, read int) *problem.Problem {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return problem.Wrap(err, problem.KindStalled, outcome.StageEntry, "the upload made no progress after %d bytes", read)
	}
	return problem.Wrap(err, problem.KindBadBody, outcome.StageEntry, "the body broke off after %d bytes", read)
}
