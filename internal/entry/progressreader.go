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

// newProgressReader bounds reads of body when its connection takes a read deadline.
func newProgressReader(body io.ReadCloser, deadline time.Time, idle time.Duration) *progressReader {
	r := &progressReader{body: body, deadline: deadline, idle: idle}
	if limited, ok := body.(*limitedBody); ok {
		r.setLimit = limited.setReadDeadline
	}
	return r
}

// Read moves the connection's read deadline on and reads. The deadline is taken
// off at the end of the body: net/http goes on reading to notice a caller that
// leaves, and would take a passed deadline for one, for all further requests of
// the connection.
func (r *progressReader) Read(p []byte) (int, error) {
	if r.setLimit == nil {
		return r.body.Read(p)
	}
	limit := time.Now().Add(r.idle)
	if r.deadline.Before(limit) {
		limit = r.deadline
	}
	_ = r.setLimit(limit)
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		_ = r.setLimit(time.Time{})
		r.setLimit = nil
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
