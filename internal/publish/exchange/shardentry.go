package exchange

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// ShardEntry names the instance that holds a shard. Of two entries for a shard, the one with
// the higher token is newer.
type ShardEntry struct {
	Shard  key.ShardID
	Token  authority.Token
	Holder authority.Instance
	// Address is the holder's peer endpoint as host:port.
	Address string
}

// hash covers the shard and the token, which identify an entry.
func (e ShardEntry) hash() uint64 {
	d := xxhash.New()
	d.WriteString(e.Shard.String())
	var token [17]byte // the first byte is zero and terminates the shard's name
	binary.BigEndian.PutUint64(token[1:], e.Token.Epoch)
	binary.BigEndian.PutUint64(token[9:], e.Token.Ballot)
	d.Write(token[:])
	return d.Sum64()
}
