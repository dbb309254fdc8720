package exchange

import "math/rand/v2"

// pushFanout is how many peers get news at once. With 3, news reaches 930
// instances in about 7 hops.
const pushFanout = 3

// Peer is another instance that can be called.
type Peer struct {
	Name    string
	Domain  string
	Address string // host:port of its peer endpoint
}

// PushTargets returns the peers that get news.
func PushTargets(peers []Peer, random *rand.Rand) []Peer {
	return PickPeers(peers, pushFanout, random)
}

// PickPeers returns up to n different peers at random.
func PickPeers(peers []Peer, n int, random *rand.Rand) []Peer {
	n = min(n, len(peers))
	picked := make([]Peer, 0, n)
	seen := make(map[int]bool, n)
	for len(picked) < n {
		i := random.IntN(len(peers))
		if !seen[i] {
			seen[i] = true
			picked = append(picked, peers[i])
		}
	}
	return picked
}
