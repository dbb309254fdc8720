package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// partCounter counts the parts of a listing that have arrived on a link.
type partCounter struct {
	arrived, acknowledged uint32
}

// count counts the parts in a message.
func (p *partCounter) count(down *linkpb.Down) {
	for _, f := range down.Facts {
		if len(f.Packed) > 0 {
			p.arrived++
		}
	}
}

// acknowledge tells the holder how many parts have arrived. If the message cannot be queued, the
// next call sends it: the holder sends no further part before.
func (p *partCounter) acknowledge(send func(*linkpb.Up) bool) {
	if p.arrived > p.acknowledged && send(&linkpb.Up{Parts: p.arrived}) {
		p.acknowledged = p.arrived
	}
}
