package record

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// ErrNoCopy means that an instance is another incarnation than the mirror addressed,
// was never sent records of the shard, or has accepted a higher token.
var ErrNoCopy = errors.New("the instance has no copy of the records; ask another member of the mirror set")

// MirrorClient calls the mirrors of other instances.
type MirrorClient interface {
	// Copy writes a batch to the mirror. After an error the batch may have been written.
	Copy(ctx context.Context, to authority.Instance, c CopyRequest) (CopyReply, error)
	// Fetch reads all records that the mirror has of a shard, and the creation time
	// since which they are complete. It returns ErrNoCopy when the mirror refuses.
	Fetch(ctx context.Context, to authority.Instance, f FetchRequest) ([]Record, time.Time, error)
}
