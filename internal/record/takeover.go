package record

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// fetchTimeout bounds the fetch at a takeover. A new holder waits 200 ms anyway
// before its first order to servers that do not check tokens.
const fetchTimeout = 200 * time.Millisecond

// takeover reads the records of the previous holder from a mirror.
type takeover struct {
	shard  key.ShardID
	token  authority.Token
	copier MirrorClient
	// set is the latest mirror set that a majority of the witnesses knows.
	set authority.MirrorSet
	// firstTenure reports that the shard never had a holder.
	firstTenure  bool
	maxClockSkew time.Duration
	source       authority.Instance
}

// run returns the records and the time since when they are complete. Any member
// will do: a request is dispatched only after all members have its record.
func (t *takeover) run(ctx context.Context) ([]Record, time.Time) {
	if t.firstTenure {
		return nil, time.UnixMilli(1)
	}
	found, err := t.fetchAny(ctx)
	if err != nil {
		return nil, time.Now().Add(2 * t.maxClockSkew)
	}
	t.source = found.from
	return found.records, found.completeSince
}

func (t *takeover) fetchAny(ctx context.Context) (fetchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	results := make(chan fetchResult, len(t.set.Members))
	for _, member := range t.set.Members {
		go func() { results <- t.fetch(ctx, member) }()
	}
	failure := errors.New("the mirror set is empty")
	for range t.set.Members {
		select {
		case f := <-results:
			if f.err == nil {
				return f, nil
			}
			failure = f.err
		case <-ctx.Done():
			return fetchResult{}, errors.Wrap(ctx.Err(), "fetch request records")
		}
	}
	return fetchResult{}, failure
}

func (t *takeover) fetch(ctx context.Context, member authority.Instance) fetchResult {
	request := FetchRequest{Shard: t.shard, Token: t.token, To: member}
	records, since, err := t.copier.Fetch(ctx, member, request)
	return fetchResult{from: member, records: records, completeSince: since, err: err}
}
