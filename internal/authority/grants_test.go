package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that releases its promises at once when it is retired or the
// shard leaves its settings: its grants are in force until the end of its tenure.
func TestGrantsEndBeforeTakeover(t *testing.T) {
	for name, lose := range map[string]func(n *Node, now time.Time){
		"retired":               func(n *Node, now time.Time) { n.SetRetired(now, []string{n.self.Instance.Name}) },
		"removed from settings": func(n *Node, now time.Time) { n.SetShards(now, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(3, 5, 0.01)
			s.advance(3 * time.Second)
			lost := s.holder()
			lost.enqueue(func(now time.Time) { lose(lost.node, now) })
			s.advance(time.Second)
			is.True(s.holder() != nil && s.holder() != lost)
			is.Equal(s.violations, nil)
		})
	}
}
