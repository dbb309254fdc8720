package record

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// fetchTimeout bounds the fetch at a takeover. It adds no delay for servers that do not
// check tokens: a new holder waits 200 ms before its first order to them anyway.
const fetchTimeout = 200 * time.Millisecond

// takeover reads the records of the previous holder from a mirror.
type takeover struct {
	shard        key.ShardID
	token        authority.Token
	mirrorClient MirrorClient
	// set is the latest mirror set that a majority of the witnesses has acknowledged.
	set authority.MirrorSet
	// firstTenure reports that the shard never had a holder.
	firstTenure  bool
	maxClockSkew time.Duration
	source       authority.Instance
}

// run returns the records and the creation time since which they are complete. The
// copy of any one member suffices, since a request is dispatched only after all
// members have its record. Without a copy, every request created up to now, and up to
// twice the clock skew later, is treated as lost.
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
	failure := errors.New("the mirror set has no members")
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
	records, since, err := t.mirrorClient.Fetch(ctx, member, request)
	return fetchResult{from: member, records: records, completeSince: since, err: err}
}
