package bounds

// CrossingByChance returns the share of requests that cross failure domains when the domain
// of the server is drawn without regard to that of the instance. shares holds the share of
// requests, and servers that of the servers, by domain.
func CrossingByChance(shares, servers []float64) float64 {
	same := 0.0
	for i := range shares {
		same += shares[i] * servers[i]
	}
	return 1 - same
}

// LeastCrossing returns the least share of requests that cross when each key has one owner,
// in the failure domain from which most of its requests come. counts holds the number of
// requests by key and domain.
func LeastCrossing(counts map[int]map[string]int) float64 {
	total, same := 0, 0
	for _, domains := range counts {
		most := 0
		for _, n := range domains {
			total += n
			most = max(most, n)
		}
		same += most
	}
	if total == 0 {
		return 0
	}
	return 1 - float64(same)/float64(total)
}
