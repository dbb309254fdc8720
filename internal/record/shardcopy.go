package record

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// shardCopy is a mirror's copy of the records of one shard. One goroutine owns it.
type shardCopy struct {
	options        Options
	highest        authority.Token
	completeSince  time.Time
	records        map[identity]Record
	bySecond       map[int64][]identity
	expiredThrough int64
}

func newShardCopy(o Options) *shardCopy {
	return &shardCopy{
		options:  o.withDefaults(),
		records:  map[identity]Record{},
		bySecond: map[int64][]identity{},
	}
}

// write stores a batch unless its token is lower than the highest accepted one or it
// has no complete-since time.
func (c *shardCopy) write(request CopyRequest, now time.Time) CopyReply {
	if request.Token.Less(c.highest) || request.CompleteSince.IsZero() {
		return CopyReply{Highest: c.highest}
	}
	c.highest = request.Token
	if request.CompleteSince.After(c.completeSince) {
		c.completeSince = request.CompleteSince
	}
	c.expire(now)
	for _, r := range request.Records {
		c.merge(r)
	}
	return CopyReply{Accepted: true, Highest: c.highest}
}

// merge stores r if it supersedes the record, so that a batch that arrives late does not
// revert a record.
func (c *shardCopy) merge(r Record) {
	id := r.identity()
	old, known := c.records[id]
	if known && !r.supersedes(old) {
		return
	}
	c.records[id] = r
	if known {
		return
	}
	created, err := CreatedAt(r.ID)
	if err != nil {
		return
	}
	c.bySecond[created.Unix()] = append(c.bySecond[created.Unix()], id)
}

// read returns all records to a holder whose token is not lower than the highest
// accepted one, and accepts that token. ok is false for a lower token and when the
// mirror was never sent records of the shard.
func (c *shardCopy) read(token authority.Token, now time.Time) (records []Record, completeSince time.Time, ok bool) {
	if token.Less(c.highest) {
		return nil, time.Time{}, false
	}
	c.highest = token
	if c.completeSince.IsZero() {
		return nil, time.Time{}, false
	}
	c.expire(now)
	records = make([]Record, 0, len(c.records))
	for _, r := range c.records {
		records = append(records, r)
	}
	return records, c.knownSince(), true
}

// knownSince returns the creation time since which the copy is complete: the holder's
// complete-since time, or the end of what this mirror has expired if that is later.
func (c *shardCopy) knownSince() time.Time {
	dropped := time.Unix(c.expiredThrough+1, 0)
	if c.expiredThrough > 0 && dropped.After(c.completeSince) {
		return dropped
	}
	return c.completeSince
}

// expire drops records whose request IDs no holder accepts any more. Twice
// MaxClockSkew allows for a holder whose clock is behind.
func (c *shardCopy) expire(now time.Time) {
	limit := now.Add(-c.options.Retention-2*c.options.MaxClockSkew).Unix() - 1
	if limit <= c.expiredThrough {
		return
	}
	c.expiredThrough = limit
	for second, ids := range c.bySecond {
		if second > limit {
			continue
		}
		for _, id := range ids {
			delete(c.records, id)
		}
		delete(c.bySecond, second)
	}
}
