package record

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

const (
	// fetchAttemptTimeout bounds one call to a mirror. It is long enough for a mirror on a
	// busy machine, and short enough for several calls before the records are given up.
	fetchAttemptTimeout = time.Second
	// fetchRetry is the delay before a mirror is called again after a failed call.
	fetchRetry = 50 * time.Millisecond
)

// takeover reads the records of the previous holder from a mirror.
type takeover struct {
	shard        key.ShardID
	token        func() authority.Token
	mirrorClient MirrorClient
	// set is the latest mirror set that a majority of the witnesses has acknowledged.
	set authority.MirrorSet
}

// run returns the records of one member of the set. The copy of any one member suffices,
// since a request is dispatched only after all members have its record. It calls each member
// until one has answered, none has a copy, or ctx ends.
func (t *takeover) run(ctx context.Context) (fetchResult, error) {
	ctx, cancel := context.WithCancel(ctx)
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

// fetch calls one member until it has answered or ctx ends.
func (t *takeover) fetch(ctx context.Context, member authority.Instance) fetchResult {
	for {
		result := t.fetchOnce(ctx, member)
		if result.err == nil || errors.Is(result.err, ErrNoCopy) {
			return result
		}
		select {
		case <-time.After(fetchRetry):
		case <-ctx.Done():
			return result
		}
	}
}

func (t *takeover) fetchOnce(ctx context.Context, member authority.Instance) fetchResult {
	ctx, cancel := context.WithTimeout(ctx, fetchAttemptTimeout)
	defer cancel()
	request := FetchRequest{Shard: t.shard, Token: t.token(), To: member}
	records, since, err := t.mirrorClient.Fetch(ctx, member, request)
	return fetchResult{from: member, records: records, completeSince: since, err: err}
}
