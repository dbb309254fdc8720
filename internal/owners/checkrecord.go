package owners

import (
	"math"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// ErrUnreadableRecord means that the stored record was not written by a holder. The holder
// replaces it; no operator needs to act.
var ErrUnreadableRecord = errors.New("the record of key owners was not written by a holder; the holder replaces it")

// check returns an error unless a holder may have written the record when no epoch above
// maxEpoch had been given out.
func (r Record) check(maxEpoch uint64) error {
	switch {
	case r.Holder == "":
		return errors.New("it names no holder")
	case r.Epoch < 1 || uint64(r.Epoch) > maxEpoch || r.Epoch > math.MaxInt64>>(fenceBits+1):
		return errors.Errorf("epoch %d is not between 1 and %d", r.Epoch, maxEpoch)
	case !r.Fleet.IsOrdered():
		return errors.New("its fleet is not ordered by name")
	case !(r.MaxProcessorShare >= 0):
		return errors.Errorf("processor share %g", r.MaxProcessorShare)
	}
	for service, ranges := range r.Services {
		next := 0
		for _, recorded := range ranges {
			if err := recorded.check(r.Epoch); err != nil {
				return errors.Wrap(err, service)
			}
			if recorded.From != next {
				return errors.Errorf("%s: the range that begins with key %d follows key %d", service, recorded.From, next-1)
			}
			next = recorded.To + 1
		}
		if len(ranges) > 0 && next != NumKeys {
			return errors.Errorf("%s: the last range ends with key %d", service, next-1)
		}
	}
	return nil
}

// check returns an error unless a holder of the epoch may have recorded the range.
func (r RecordRange) check(epoch int64) error {
	if r.From < 0 || r.To < r.From || r.To >= NumKeys {
		return errors.Errorf("%d to %d is no range of keys", r.From, r.To)
	}
	fences := (epoch + 1) << fenceBits
	if r.Fence < 0 || r.Fence >= fences || r.PreviousFence < 0 || r.PreviousFence >= fences {
		return errors.Errorf("the fences %d and %d of the range from key %d are not of epoch %d or before", r.Fence, r.PreviousFence, r.From, epoch)
	}
	for _, name := range []string{r.Owner, r.Previous} {
		if name == "" {
			continue
		}
		if err := fleet.CheckServerName(name); err != nil {
			return err
		}
	}
	return nil
}
