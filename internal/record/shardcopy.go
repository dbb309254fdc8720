package record

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// shardCopy is what a mirror holds of one shard. It belongs to one goroutine.
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

// write stores a batch unless its token is lower than the highest accepted one.
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

// merge keeps the record that is further on, so a batch that arrives late does
// not take a record back.
func (c *shardCopy) merge(r Record) {
	id := r.identity()
	old, known := c.records[id]
	if known && old.State >= r.State {
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

// read returns all records to a holder with at least the highest token, which
// it accepts. ok is false when the mirror has no copy.
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

// knownSince is the later of what the holder claimed and what this mirror has dropped.
func (c *shardCopy) knownSince() time.Time {
	dropped := time.Unix(c.expiredThrough+1, 0)
	if c.expiredThrough > 0 && dropped.After(c.completeSince) {
		return dropped
	}
	return c.completeSince
}

// expire drops records that no holder accepts any more, allowing for a holder
// whose clock is behind.
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
