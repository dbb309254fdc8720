package fleet

// TrafficShare is a service that receives a part of a route's requests, in
// proportion to its weight. The weights of a route need not sum to 1.
type TrafficShare struct {
	Service string
	Weight  float64
}
