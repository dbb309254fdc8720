package version

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/settingstest"
	"peridotmoor.org/peridotmoor/internal/store"
)

var testTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const (
	textOut       = "[DEFAULT]\ntimeout = 1s\n[service.graves]\nstate = out\n"
	textTimeout   = "[DEFAULT]\ntimeout = 2s\n[service.graves]\nstate = out\n"
	textTwoShards = "[DEFAULT]\ntimeout = 1s\n[service.graves]\nstate = out\nshards = 2\n"
)

func proposal(text, author string, parent uint64) Proposal {
	return Proposal{Text: text, FileName: author + ".ini", Author: author, Parent: parent, Time: testTime}
}

func mustApply(t testing.TB, s store.Store, p Proposal) Version {
	t.Helper()
	v, err := Apply(t.Context(), s, p)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a ConflictError that does not name the operator who applied first and
// the settings that differ.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	s := settingstest.NewStore()
	mustApply(t, s, proposal(textOut, "aoi", 0))
	var winner Version
	raced := false
	s.BeforeCall = func(op, key string) error {
		if op == "cas" && key == CurrentKey && !raced { // the other operator applies between read and write
			raced = true
			winner = mustApply(t, s, proposal(textTimeout, "bryn", 1))
		}
		return nil
	}
	_, err := Apply(t.Context(), s, proposal(textTwoShards+"[domain.north]\nregion = r\n", "aoi", 1).confirmedInEffect())
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner, winner)
	for _, part := range []string{"version 2 by bryn", "[DEFAULT] timeout changed: 1s -> 2s", "set its parent to 2", "nothing was applied"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error does not contain %q:\n%v", part, err)
		}
	}
	is.True(!strings.Contains(err.Error(), "domain.north")) // not changed by the winner
	current, _, err := Current(t.Context(), s)
	is.NoErr(err)
	is.Equal(current, winner)
}

func (p Proposal) confirmedInEffect() Proposal {
	p.ConfirmInEffect = func(context.Context, uint64) error { return nil }
	return p
}

// Guards against a text built on an old version that silently reverts later changes.
func TestApplyOnOldParent(t *testing.T) {
	is := is.New(t)
	s := settingstest.NewStore()
	mustApply(t, s, proposal(textOut, "aoi", 0))
	mustApply(t, s, proposal(textTimeout, "bryn", 1))
	_, err := Apply(t.Context(), s, proposal("[service.graves]\nstate = out\n", "aoi", 1))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.Number, uint64(2))
}

// Guards against reporting success for a change that did not take effect, or failure for
// one that did, if the response to the compare-and-swap is lost.
func TestLostAnswer(t *testing.T) {
	cases := []struct {
		name        string
		tookEffect  bool // the lost write took effect
		followed    bool // another operator applies before the result is read
		failedReads int  // reads that fail before the store responds
		accepted    bool
	}{
		{"took effect", true, false, 0, true},
		{"took effect, read back fails first", true, false, 3, true},
		{"took no effect", false, false, 0, true}, // the same write is repeated
		{"took effect and was followed", true, true, 0, true},
		{"took no effect and another won", false, true, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := settingstest.NewStore()
				mustApply(t, s, proposal(textOut, "aoi", 0))
				loseNextResponse(t, s, c.tookEffect, c.followed, c.failedReads)
				v, err := Apply(t.Context(), s, proposal(textTimeout, "aoi", 1))
				s.SetHooks(nil, nil)
				is.Equal(err == nil, c.accepted)
				stored, getErr := Get(t.Context(), s, 2)
				is.NoErr(getErr)
				is.Equal(stored.WriteID == v.WriteID, c.accepted)
			})
		})
	}
}

// loseNextResponse loses the response to the next write of the current key.
func loseNextResponse(t *testing.T, s *settingstest.Store, tookEffect, followed bool, failedReads int) {
	lost := false
	lose := func(op, key string) error {
		if op == "get" && lost && failedReads > 0 {
			failedReads--
			return store.ErrUnavailable
		}
		if op != "cas" || key != CurrentKey || lost {
			return nil
		}
		lost = true
		if followed {
			parent := uint64(1)
			if tookEffect {
				parent = 2
			}
			mustApply(t, s, proposal("[service.graves]\nstate = out\n", "bryn", parent))
		}
		return store.ErrUncertain
	}
	if tookEffect {
		s.AfterCall = lose
	} else {
		s.BeforeCall = lose
	}
}

// Guards against waiting forever, or reporting a definite result, if the store stays
// unavailable after a lost response.
func TestLostAnswerAndStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := settingstest.NewStore()
		down := false
		s.BeforeCall = func(op, key string) error {
			if down {
				return store.ErrUnavailable
			}
			down = op == "cas"
			return nil
		}
		s.AfterCall = func(op, key string) error {
			if op == "cas" {
				return store.ErrUncertain
			}
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := Apply(ctx, s, proposal(textOut, "aoi", 0))
		var uncertain *UncertainError
		is.True(errors.As(err, &uncertain))
		is.True(strings.Contains(err.Error(), uncertain.Proposal.WriteID))
		s.SetHooks(nil, nil)
		current, _, err := Current(t.Context(), s)
		is.NoErr(err)
		is.Equal(current.WriteID, uncertain.Proposal.WriteID)
	})
}

// Guards against invalid proposals that are written to the store.
func TestApplyRefuses(t *testing.T) {
	cases := []struct {
		name string
		p    Proposal
		want string
	}{
		{"faulty tree", proposal("[DEFAULT]\ntimeout = x", "aoi", 1), "not a duration"},
		{"no author", proposal(textTimeout, "", 1), "author"},
		{"author of two lines", proposal(textTimeout, "a\nb", 1), "author"},
		{"parent ahead", proposal(textTimeout, "aoi", 7), "correct the parent"},
		{"same text", proposal(textOut, "aoi", 1), "nothing to apply"},
		{"older store", Proposal{Text: textTimeout, Author: "aoi", Parent: 1, InEffect: 3}, "version 3 is in effect"},
		{"transition", proposal("[DEFAULT]\ntimeout = 1s\n", "aoi", 1).confirmedInEffect(), ""},
		{"not settled", proposal(textTwoShards, "aoi", 1), "needs version 1 in effect at every instance"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := settingstest.NewStore()
			first := mustApply(t, s, proposal(textOut, "aoi", 0))
			v, err := Apply(t.Context(), s, c.p)
			if c.want == "" {
				is.NoErr(err)
				is.Equal(v.Number, uint64(2))
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
			current, _, err := Current(t.Context(), s)
			is.NoErr(err)
			is.Equal(current, first)
		})
	}
}

// Guards against a change of ownership while an instance still runs an earlier version.
func TestApplyConfirmsInEffect(t *testing.T) {
	is := is.New(t)
	s := settingstest.NewStore()
	mustApply(t, s, proposal(textOut, "aoi", 0))
	p := proposal(textTwoShards, "aoi", 1)
	var asked uint64
	p.ConfirmInEffect = func(_ context.Context, number uint64) error {
		asked = number
		return errors.New("entry-3 has version 0")
	}
	_, err := Apply(t.Context(), s, p)
	var notInEffect *NotInEffectError
	is.True(errors.As(err, &notInEffect))
	is.True(strings.Contains(err.Error(), "entry-3"))
	is.Equal(asked, uint64(1))
}

// Guards against writing a change that settings.CheckTransition refuses.
func TestApplyChecksTransition(t *testing.T) {
	is := is.New(t)
	s := settingstest.NewStore()
	in := "[domain.d]\nregion = r\n[service.x]\n[server.x1]\nservice = x\ndomain = d\naddress = h:1\n"
	mustApply(t, s, proposal(in, "aoi", 0))
	_, err := Apply(t.Context(), s, proposal(strings.Replace(in, "h:1", "h:2", 1), "aoi", 1).confirmedInEffect())
	var issues settings.Issues
	is.True(errors.As(err, &issues))
	is.True(strings.Contains(err.Error(), "while the server is in"))
}
