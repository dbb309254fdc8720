package hotkey

// counterHeap is a min-heap of counters by weight, then hash, for container/heap.
type counterHeap []*counter

// Len implements heap.Interface.
func (h counterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h counterHeap) Less(i, j int) bool {
	if h[i].weight != h[j].weight {
		return h[i].weight < h[j].weight
	}
	return h[i].hash < h[j].hash
}

// Swap implements heap.Interface.
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	c := x.(*counter)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
