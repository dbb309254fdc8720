package record

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
)

// ErrNoCopy means that an instance is not the mirror it was taken for, or has
// accepted a higher token.
var ErrNoCopy = errors.New("the instance has no copy of the records; ask another member of the mirror set")

// MirrorClient carries records between instances.
type MirrorClient interface {
	// Copy writes a batch to the mirror. An error leaves open whether it was written.
	Copy(ctx context.Context, to authority.Instance, c CopyRequest) (CopyReply, error)
	// Fetch reads all records that the mirror holds of a shard and its complete
	// since time. It returns ErrNoCopy when the mirror refuses.
	Fetch(ctx context.Context, to authority.Instance, f FetchRequest) ([]Record, time.Time, error)
}
