package exchange

import "math/rand/v2"

// pushFanout is the number of peers to which an update is pushed at once. With 3, an update
// reaches 930 instances in about 7 hops.
const pushFanout = 3

// Peer is the address of another instance.
type Peer struct {
	Name    string
	Domain  string
	Address string // host:port of its peer endpoint
}

// PushTargets returns the random peers to which an update is pushed.
func PushTargets(peers []Peer, random *rand.Rand) []Peer {
	return PickPeers(peers, pushFanout, random)
}

// PickPeers returns up to n distinct peers at random.
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
