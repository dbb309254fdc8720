package servers

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// Guards against reports that are newer than ReportDelay allows.
func TestReportsAreDelayed(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l := newLaggedValue(time.Second, 0)
	l.set(at(0), 1)
	l.set(at(500), 2)
	for ms, want := range map[int]int{999: 0} {
		is.Equal(l.get(at(ms)), want)
	}
	is.Equal(l.get(at(1000)), 1)
	is.Equal(l.get(at(1499)), 1)
	is.Equal(l.get(at(1500)), 2)
	is.Equal(l.get(at(9000)), 2)
}

// Guards against service times without slow windows, or that differ between runs with one seed.
func TestServiceTimes(t *testing.T) {
	is := is.New(t)
	w := ServiceTimes{Median: 4 * time.Millisecond, Sigma: 0.4, SlowShare: 0.1, SlowFactor: 10}
	draw := func(seed uint64) (slow, below int) {
		random := rand.New(rand.NewPCG(seed, 0))
		for i := range 10_000 {
			offset := time.Duration(i) * slowWindow
			d := w.draw(random, seed, offset)
			if w.isSlow(seed, offset) {
				slow++
				d /= 10
			}
			if d < w.Median {
				below++
			}
		}
		return slow, below
	}
	slow, below := draw(1)
	is.True(slow > 800 && slow < 1200)
	is.True(below > 4700 && below < 5300)
	slowAgain, belowAgain := draw(1)
	is.Equal(slow, slowAgain)
	is.Equal(below, belowAgain)
}

// Guards against a clock that translates an expiry to a time other than that at which it takes effect.
func TestClockTranslation(t *testing.T) {
	is := is.New(t)
	c := newClock(0.01, 500*time.Second)
	c.advance(time.Minute)
	reading := 560*time.Second + 101*time.Second
	is.Equal(c.realTime(reading).Sub(c.start).Round(time.Millisecond), 100*time.Second)
}

func TestConfigsFromTree(t *testing.T) {
	is := is.New(t)
	tree := `
checks_tokens = true
[service.bosho]
keyed = true
[service.shashin]
checks_tokens = false
[server.bosho-1]
service = bosho
domain = kyu-kita
[server.shashin-1]
service = shashin
domain = kyu-naka
slots = 5
`
	configs, err := ConfigsFromTree([]byte(tree), Config{StartWarm: true})
	is.NoErr(err)
	is.Equal(len(configs), 2)
	bosho, shashin := configs[0], configs[1]
	is.Equal(bosho.Name, "bosho-1")
	is.Equal(bosho.Domain, "kyu-kita")
	is.True(bosho.Keyed && bosho.ChecksTokens && bosho.StartWarm)
	is.Equal(bosho.Slots, 3)
	is.True(!shashin.Keyed && !shashin.ChecksTokens)
	is.Equal(shashin.Slots, 5)
	is.True(bosho.Seed != shashin.Seed)
}

// Guards against a fleet that starts without servers that the operator configured.
func TestInvalidTreesAreRejected(t *testing.T) {
	for name, tree := range map[string]string{
		"no server":     "[service.bosho]\nkeyed = true\n",
		"no service":    "[server.a]\ndomain = d\n",
		"no domain":     "[server.a]\nservice = s\n",
		"bad mark":      "[server.a]\nservice = s\ndomain = d\nchecks_tokens = maybe\n",
		"bad slots":     "[server.a]\nservice = s\ndomain = d\nslots = few\n",
		"not a section": "[server.a\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ConfigsFromTree([]byte(tree), Config{})
			is.True(err != nil)
		})
	}
}

// Guards against a server that keeps executing after the caller's deadline.
func TestServerStopsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	fleet, err := NewFleet([]Config{{Name: "a", Service: "s", Domain: "d", StartWarm: true}})
	is.NoErr(err)
	defer fleet.Close()
	request, err := http.NewRequest(http.MethodGet, "http://"+fleet.Server("a").Address()+"/p?work_ms=3600000", nil)
	is.NoErr(err)
	request.Close = true
	for name, value := range map[string]string{
		backend.HeaderRequestID: "one", backend.HeaderTimeoutMS: "1", backend.HeaderShard: "s/0", backend.HeaderToken: "1.1",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.Equal(response.Header.Get(backend.HeaderRequestID), "one")
}

// Guards against control calls that are accepted but have no effect.
func TestFleetControl(t *testing.T) {
	is := is.New(t)
	fleet, err := NewFleet([]Config{{Name: "a", Service: "s", Domain: "d", StartWarm: true}})
	is.NoErr(err)
	defer fleet.Close()
	call := func(method, path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		fleet.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
		return recorder
	}
	before := fleet.Server("a").Incarnation()
	address := fleet.Server("a").Address()
	is.Equal(call(http.MethodPost, "/dev/servers/a/crash").Code, http.StatusNoContent)
	is.Equal(fleet.Server("a").Incarnation(), "")
	is.Equal(call(http.MethodPost, "/dev/servers/a/start").Code, http.StatusNoContent)
	is.True(fleet.Server("a").Incarnation() != before)
	is.Equal(fleet.Server("a").Address(), address)
	started := fleet.Server("a").Incarnation()
	is.Equal(call(http.MethodPost, "/dev/servers/a/start").Code, http.StatusNoContent)
	is.Equal(fleet.Server("a").Incarnation(), started)
	is.True(fleet.Server("a").Start() != nil)
	is.Equal(call(http.MethodPost, "/dev/servers/b/crash").Code, http.StatusNotFound)
	is.Equal(call(http.MethodPost, "/dev/servers/a/unknown").Code, http.StatusBadRequest)
	is.Equal(call(http.MethodPost, "/dev/servers/a/slow?value=x").Code, http.StatusBadRequest)
	is.Equal(call(http.MethodPost, "/dev/servers/a/leaving?value=true").Code, http.StatusNoContent)
	is.True(fleet.Server("a").leaving.Load())
	is.Equal(call(http.MethodGet, "/dev/owner?service=s&key=k").Code, http.StatusNotFound)
	is.Equal(call(http.MethodGet, "/dev/servers").Code, http.StatusOK)
	is.Equal(call(http.MethodGet, "/dev/runlog").Code, http.StatusOK)
}
