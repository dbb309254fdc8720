package exchange

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// ShardEntry says which instance holds a shard. Of two entries the one with the
// higher token is newer.
type ShardEntry struct {
	Shard  key.ShardID
	Token  authority.Token
	Holder authority.Instance
	// Address is host:port of the holder's peer endpoint.
	Address string
}

// hash covers what makes two entries differ: shard and token.
func (e ShardEntry) hash() uint64 {
	d := xxhash.New()
	d.WriteString(e.Shard.String())
	var token [17]byte // a zero byte ends the shard's name
	binary.BigEndian.PutUint64(token[1:], e.Token.Epoch)
	binary.BigEndian.PutUint64(token[9:], e.Token.Ballot)
	d.Write(token[:])
	return d.Sum64()
}
