package runner

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Source publishes the state of one shard. It implements
// authority.TenureSource. All methods may be called from any goroutine.
type Source struct {
	tenure        atomic.Pointer[authority.Tenure]
	config        atomic.Pointer[authority.WitnessConfig]
	acceptedClaim atomic.Pointer[authority.AcceptedClaim]
	changed       chan struct{}
}

var _ authority.TenureSource = (*Source)(nil)

func newSource() *Source {
	return &Source{changed: make(chan struct{}, 1)}
}

// Tenure returns the latest tenure, or nil when the shard is not held.
func (s *Source) Tenure() *authority.Tenure {
	return s.tenure.Load()
}

// Changed receives a value after the token, the mirrors or the presence of the
// tenure has changed. It supports one receiver.
func (s *Source) Changed() <-chan struct{} {
	return s.changed
}

// Config returns the latest configuration read from the record, or nil.
func (s *Source) Config() *authority.WitnessConfig {
	return s.config.Load()
}

// MayConfirmCopy reports whether a mirror in this process may confirm a copy of
// a record under token. The caller must store the copy before the call: a
// confirmed copy is then visible to every holder with a higher token. highest
// is the token to report to a refused sender.
func (s *Source) MayConfirmCopy(holder authority.Instance, token authority.Token) (highest authority.Token, ok bool) {
	accepted := s.acceptedClaim.Load()
	if accepted == nil {
		return authority.Token{}, true
	}
	return accepted.Token, accepted.Holder == holder || !token.Less(accepted.Token)
}

// publish stores the tenure, and signals the change if more than its end
// changed.
func (s *Source) publish(tenure *authority.Tenure) {
	previous := s.tenure.Swap(tenure)
	if sameTenure(previous, tenure) {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func sameTenure(a, b *authority.Tenure) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Token == b.Token && a.Mirrors.Generation == b.Mirrors.Generation
}
