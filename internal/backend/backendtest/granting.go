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

// granting is the contract of grants.
func granting() []contractCase {
	return []contractCase{
		{"no grant", keyed, noGrant},
		{"grant of the key's range", keyed, grantedRange},
		{"grant replaces the whole list", keyed, replacedList},
		{"grant of the end of the space", keyed, endOfSpace},
		{"grant ends on the server's clock", keyed, grantEnds},
		{"late renewal grants nothing", keyed, lateRenewal},
		{"question for the clock changes nothing", keyed, clockOnly},
		{"overtaken grant changes nothing", keyed, overtaken},
		{"restart loses the grant", keyed, restart},
		{"lower token", fenced, lowerToken},
		{"lower token at a server that checks none", keyed, lowerTokenUnchecked},
		{"drain with a lower token", fenced, lowerDrain},
		{"tokens of another shard", fenced, otherShard},
	}
}

func noGrant(t *testing.T, h Harness) {
	refused(t, h, 1, get("one"))
}

func grantedRange(t *testing.T, h Harness) {
	is := is.New(t)
	hash := key.HashOf("plot-7")
	answer := mustGrant(t, h, 1, far, []key.Range{key.Single(hash)})
	is.Equal(answer.Highest, authority.Token{Epoch: 1, Ballot: 1})
	read(t, answered(t, h, 1, get("one")))
	other := get("two")
	other.Key = "plot-8"
	refused(t, h, 1, other)
}

func replacedList(t *testing.T, h Harness) {
	mustGrant(t, h, 1, far, everything)
	hash := key.HashOf("plot-7")
	mustGrant(t, h, 1, far, []key.Range{{Start: 0, End: hash}, {Start: hash + 1, End: 0}})
	refused(t, h, 1, get("one"))
	mustGrant(t, h, 1, far, nil)
	other := get("two")
	other.Key = "plot-8"
	refused(t, h, 1, other)
}

func endOfSpace(t *testing.T, h Harness) {
	mustGrant(t, h, 1, far, []key.Range{{Start: key.HashOf("plot-7"), End: 0}})
	read(t, answered(t, h, 1, get("one")))
}

func grantEnds(t *testing.T, h Harness) {
	mustGrant(t, h, 1, far, everything)
	h.Control.AdvanceClock(far - time.Minute)
	read(t, answered(t, h, 1, get("one")))
	h.Control.AdvanceClock(time.Minute)
	refused(t, h, 1, get("two"))
}

// lateRenewal guards against a renewal that was held up in the network and
// would bring the grant of a lost holder back.
func lateRenewal(t *testing.T, h Harness) {
	is := is.New(t)
	first := mustGrant(t, h, 1, far, everything)
	h.Control.AdvanceClock(far)
	late := backend.Grant{Order: order(1), Ranges: everything, Expiry: first.Clock + far}
	_, err := h.Server.Grant(t.Context(), late)
	is.NoErr(err)
	refused(t, h, 1, get("one"))
}

func clockOnly(t *testing.T, h Harness) {
	is := is.New(t)
	first := mustGrant(t, h, 1, far, everything)
	h.Control.AdvanceClock(time.Minute)
	answer, err := h.Server.Grant(t.Context(), backend.Grant{Order: order(1)})
	is.NoErr(err)
	is.True(answer.Clock >= first.Clock+time.Minute)
	is.Equal(answer.Incarnation, first.Incarnation)
	read(t, answered(t, h, 1, get("one")))
}

// overtaken guards against a delayed grant that brings back a range after it was moved away.
func overtaken(t *testing.T, h Harness) {
	is := is.New(t)
	seen := mustGrant(t, h, 1, far, nil)
	send := func(sequence uint64, ranges []key.Range) error {
		_, err := h.Server.Grant(t.Context(), backend.Grant{
			Order: order(1), Ranges: ranges, Expiry: seen.Clock + far, Sequence: sequence})
		return err
	}
	is.NoErr(send(2, nil))
	err := send(1, everything)
	is.True(err != nil)
	is.True(!errors.Is(err, backend.ErrHigherToken))
	refused(t, h, 1, get("one"))
	is.NoErr(send(3, everything))
	read(t, answered(t, h, 1, get("one")))
}

func restart(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 1, far, everything)
	h.Control.Crash()
	is.NoErr(h.Control.Start())
	refused(t, h, 1, get("one"))
}

func lowerToken(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 2, far, everything)
	answer, err := grant(t, h, 1, far, nil)
	is.True(errors.Is(err, backend.ErrHigherToken))
	is.Equal(answer.Highest, authority.Token{Epoch: 1, Ballot: 2})
	refused(t, h, 1, get("one"))
	read(t, answered(t, h, 2, get("two")))
	read(t, answered(t, h, 3, get("three")))
}

func lowerTokenUnchecked(t *testing.T, h Harness) {
	mustGrant(t, h, 2, far, nil)
	mustGrant(t, h, 1, far, everything)
	read(t, answered(t, h, 1, get("one")))
}

func lowerDrain(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 2, far, everything)
	is.True(errors.Is(h.Server.Drain(t.Context(), order(1)), backend.ErrHigherToken))
	read(t, answered(t, h, 2, get("one")))
}

func otherShard(t *testing.T, h Harness) {
	is := is.New(t)
	mustGrant(t, h, 2, far, everything)
	other := order(1)
	other.Shard.Index = 1
	_, err := h.Server.Grant(t.Context(), backend.Grant{Order: other})
	is.NoErr(err)
}
