// Package demo starts the whole system on loopback, injects failures under load
// and checks the outcome of each request.
package demo

import (
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
)

// probeKeys and probeInterval result in 80 probes per second.
const (
	probeKeys     = 8
	probeInterval = 100 * time.Millisecond
)

// DefaultRequestMix is modelled on the load of Kokemori Systems: photo reads, survey uploads, renewal
// orders and visit bookings.
func DefaultRequestMix() []callers.RequestKind {
	return []callers.RequestKind{
		{Name: "plot", Service: "bosho", Method: http.MethodGet, Weight: 40, Keys: 200, Path: "/plot"},
		{Name: "survey", Service: "bosho", Method: http.MethodPut, Weight: 2, Keys: 20, Path: "/survey", BodyBytes: 300 << 10},
		{Name: "renewal", Service: "chumon", Method: http.MethodPost, Weight: 15, Keys: 200, Path: "/order", BodyBytes: 600},
		{Name: "photo", Service: "shashin", Method: http.MethodGet, Weight: 28, Keys: 200, Path: "/photo", ResponseBytes: 24 << 10},
		{Name: "album", Service: "shashin", Method: http.MethodGet, Weight: 2, Keys: 20, Path: "/album", ResponseBytes: 400 << 10},
		{Name: "visit", Service: "yoyaku", Method: http.MethodPost, Weight: 13, Keys: 100, Path: "/visit", BodyBytes: 200},
	}
}

// probeKeyNames returns the keys that are probed.
func probeKeyNames() []string {
	probed := probe()
	return callers.Load{Probe: &probed}.ProbeKeys()
}

// probe is the request that is sent at a fixed interval to measure how long a key is unserved.
func probe() callers.RequestKind {
	return callers.RequestKind{Name: "probe", Service: "bosho", Method: http.MethodGet, Keys: probeKeys, Path: "/probe"}
}
