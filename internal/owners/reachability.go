package owners

// mostUnresponsive reports whether more than half of the usable servers have left
// their last order unanswered. That many servers rarely fail together without being
// removed from the list: more likely the holder itself is cut off or overloaded, and
// moves would only make the keys unavailable.
func (t *Table) mostUnresponsive(candidates []Candidate) bool {
	usable, unresponsive := 0, 0
	for _, c := range candidates {
		if !c.Usable {
			continue
		}
		usable++
		if t.failures[c.Incarnation] > 0 {
			unresponsive++
		}
	}
	return 2*unresponsive > usable
}
