package peer

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Guards against a field of a promise request that is lost or swapped in the
// conversion. A lost mirror set or epoch would break the fencing of request records.
func TestPromiseMessagesSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instance := rapid.Custom(func(rt *rapid.T) authority.Instance {
			return authority.Instance{Name: rapid.StringN(1, 8, 8).Draw(rt, "name"), Incarnation: rapid.StringN(1, 8, 8).Draw(rt, "incarnation")}
		})
		member := rapid.Custom(func(rt *rapid.T) authority.Member {
			return authority.Member{Instance: instance.Draw(rt, "member"), Address: rapid.StringN(1, 8, 8).Draw(rt, "address"), Domain: rapid.StringN(1, 8, 8).Draw(rt, "domain")}
		})
		members := rapid.SliceOfN(member, 1, 5)
		config := rapid.Custom(func(rt *rapid.T) authority.WitnessConfig {
			return authority.WitnessConfig{
				Epoch:     rapid.Uint64().Draw(rt, "config epoch"),
				Witnesses: members.Draw(rt, "witnesses"),
				Previous:  rapid.SliceOfN(members, 1, 2).Draw(rt, "previous"),
			}
		})
		claim := rapid.Custom(func(rt *rapid.T) authority.ShardClaim {
			return authority.ShardClaim{
				Shard:   key.ShardID{Service: "bosho", Index: rapid.IntRange(0, 9).Draw(rt, "shard")},
				Token:   authority.Token{Epoch: rapid.Uint64().Draw(rt, "epoch"), Ballot: rapid.Uint64().Draw(rt, "ballot")},
				Mirrors: authority.MirrorSet{Generation: rapid.Uint64().Draw(rt, "generation"), Members: rapid.SliceOfN(instance, 1, 3).Draw(rt, "mirrors")},
				Release: rapid.Bool().Draw(rt, "release"),
				Config:  rapid.Ptr(config, true).Draw(rt, "config"),
			}
		})
		in := authority.PromiseRequest{
			Candidate: instance.Draw(rt, "candidate"),
			To:        instance.Draw(rt, "to"),
			Claims:    rapid.SliceOfN(claim, 1, 4).Draw(rt, "claims"),
		}
		out, err := promiseRequestFromWire(promiseRequestToWire(in))
		is := is.NewRelaxed(rt)
		is.NoErr(err)
		is.Equal(in, out)
	})
}
