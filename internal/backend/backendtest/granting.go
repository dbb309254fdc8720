package backendtest

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
)

var (
	keyed  = Options{Keyed: true}
	fenced = Options{Keyed: true, ChecksTokens: true}
)

// grantCases returns the cases of grants.
func grantCases() []contractCase {
	return []contractCase{
		{"no grant", keyed, noGrant},
		{"grant of the key's range", keyed, grantedRange},
		{"grant replaces the complete list", keyed, replacedList},
		{"grant of the end of the hash space", keyed, endOfSpace},
		{"grant expires on the server's clock", keyed, grantExpires},
		{"late renewal grants nothing", keyed, lateRenewal},
		{"reading the clock changes no grant", keyed, clockOnly},
		{"delayed grant changes nothing", keyed, delayedGrant},
		{"restart loses the grant", keyed, restart},
		{"lower token", fenced, lowerToken},
		{"lower token at a server that does not check tokens", keyed, lowerTokenUnchecked},
		{"drain with a lower token", fenced, lowerDrain},
		{"tokens of another shard", fenced, otherShard},
	}
}

func noGrant(t *testing.T, h Harness) {
	expectRefusal(t, h, 1, get("one"))
}

func grantedRange(t *testing.T, h Harness) {
	is := is.New(t)
	hash := key.HashOf("plot-7")
	response := mustGrant(t, h, 1, distantExpiry, []key.Range{key.Single(hash)})
	is.Equal(response.Highest, authority.Token{Epoch: 1, Ballot: 1})
	readBody(t, mustSend(t, h, 1, get("one")))
	other := get("two")
	other.Key = "plot-8"
	expectRefusal(t, h, 1, other)
}

func replacedList(t *testing.T, h Harness) {
	mustGrant(t, h, 1, distantExpiry, allKeys)
	hash := key.HashOf("plot-7")
	mustGrant(t, h, 1, distantExpiry, []key.Range{{Start: 0, End: hash}, {Start: hash + 1, End: 0}})
	expectRefusal(t, h, 1, get("one"))
	mustGrant(t, h, 1, distantExpiry, nil)
	other := get("two")
	other.Key = "plot-8"
	expectRefusal(t, h, 1, other)
}

func endOfSpace(t *testing.T, h Harness) {
	mustGrant(t, h, 1, distantExpiry, []key.Range{{Start: key.HashOf("plot-7"), End: 0}})
	readBody(t, mustSend(t, h, 1, get("one")))
}

func grantExpires(t *testing.T, h Harness) {
	mustGrant(t, h, 1, distantExpiry, allKeys)
	h.Control.AdvanceClock(distantExpiry - time.Minute)
	readBody(t, mustSend(t, h, 1, get("one")))
	h.Control.AdvanceClock(time.Minute)
	expectRefusal(t, h, 1, get("two"))
}

// lateRenewal guards against a renewal that was delayed in the network and would
// restore an expired grant of a holder that lost its shard.
func lateRenewal(t *testing.T, h Harness) {
	is := is.New(t)
	first := mustGrant(t, h, 1, distantExpiry, allKeys)
	h.Control.AdvanceClock(distantExpiry)
	late := backend.Grant{Order: order(1), Ranges: allKeys, Expiry: first.Clock + distantExpiry}
	_, err := h.Server.Grant(t.Context(), late)
	is.NoErr(err)
	expectRefusal(t, h, 1, get("one"))
}

func clockOnly(t *testing.T, h Harness) {
	is := is.New(t)
	first := mustGrant(t, h, 1, distantExpiry, allKeys)
	h.Control.AdvanceClock(time.Minute)
	response, err := h.Server.Grant(t.Context(), backend.Grant{Order: order(1)})
	is.NoErr(err)
	is.True(response.Clock >= first.Clock+time.Minute)
	is.Equal(response.Incarnation, first.Incarnation)
	readBody(t, mustSend(t, h, 1, get("one")))
}

// delayedGrant guards against a delayed grant that restores a range which has been
// moved to another server.
func delayedGrant(t *testing.T, h Harness) {
	is := is.New(t)
	seen := mustGrant(t, h, 1, distantExpiry, nil)
	send := func(sequence uint64, ranges []key.Range) error {
		_, err := h.Server.Grant(t.Context(), backend.Grant{
			Order: order(1), Ranges: ranges, Expiry: seen.Clock + distantExpiry, Sequence: sequence})
		return err
	}
	is.NoErr(send(2, nil))
	err := send(1, allKeys)
	is.True(err != nil)
	is.True(!errors.Is(err, backend.ErrHigherToken))
	expectRefusal(t, h, 1, get("one"))
	is.NoErr(send(3, allKeys))
	readBody(t, mustSend(t, h, 1, get("one")))
}

func restart(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 1, distantExpiry, allKeys)
	h.Control.Crash()
	is.NoErr(h.Control.Start())
	expectRefusal(t, h, 1, get("one"))
}

func lowerToken(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 2, distantExpiry, allKeys)
	response, err := grant(t, h, 1, distantExpiry, nil)
	is.True(errors.Is(err, backend.ErrHigherToken))
	is.Equal(response.Highest, authority.Token{Epoch: 1, Ballot: 2})
	expectRefusal(t, h, 1, get("one"))
	readBody(t, mustSend(t, h, 2, get("two")))
	readBody(t, mustSend(t, h, 3, get("three")))
}

func lowerTokenUnchecked(t *testing.T, h Harness) {
	mustGrant(t, h, 2, distantExpiry, nil)
	mustGrant(t, h, 1, distantExpiry, allKeys)
	readBody(t, mustSend(t, h, 1, get("one")))
}

func lowerDrain(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 2, distantExpiry, allKeys)
	is.True(errors.Is(h.Server.Drain(t.Context(), order(1)), backend.ErrHigherToken))
	readBody(t, mustSend(t, h, 2, get("one")))
}

func otherShard(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 2, distantExpiry, allKeys)
	other := order(1)
	other.Shard.Index = 1
	_, err := h.Server.Grant(t.Context(), backend.Grant{Order: other})
	is.NoErr(err)
}
