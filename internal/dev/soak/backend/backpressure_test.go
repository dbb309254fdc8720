package backend

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against servers that do not say what the platform's pages let them say: that
// they leave and which limit they have in all responses, and a pause with a refusal.
func TestServerSaysWhatItWants(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t, false)
	go s.a.Leave(time.Minute)
	for !s.a.running().leaving.Load() {
		time.Sleep(time.Millisecond)
	}
	limit := 2.5
	s.a.running().limit.Store(&limit)
	s.a.running().shedding.Store(&shedding{share: 1, pause: time.Second})
	health, _ := s.call(s.a, http.MethodGet, HealthPath, "")
	is.Equal(health.StatusCode, http.StatusServiceUnavailable)
	refused, _ := s.call(s.a, http.MethodGet, "/x", "", "X-Attempt-Id", "r", "X-Deadline-Ms", "1000")
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get("Retry-After"), "1.000")
	is.True(refused.Header.Get(headerNotExecuted) != "")
	for _, response := range []*http.Response{health, refused} {
		is.Equal(response.Header.Get(HeaderLeaving), "1")
		is.Equal(response.Header.Get(headerLimit), "2.5")
	}
	arrivals := s.arrivals.All()
	is.Equal(len(arrivals), 1)
	is.Equal(arrivals[0].Pause, time.Second)
	other, _ := s.call(s.b, http.MethodGet, HealthPath, "")
	is.Equal(other.Header.Get(HeaderLeaving), "")
}
