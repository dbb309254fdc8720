package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/request"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against requests with different content that have the same fingerprint, and
// against a request that evades its mark by a new request ID.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	base := request.Request{ID: "1", Service: "bosho", Key: "k", Method: "PUT", Path: "/a", Digest: 1}
	same := base
	same.ID = "2"
	is.Equal(FingerprintOf(&base), FingerprintOf(&same))
	for _, change := range []func(*request.Request){
		func(r *request.Request) { r.Service = "rail" },
		func(r *request.Request) { r.Key, r.Method = "kP", "UT" },
		func(r *request.Request) { r.Method = "POST" },
		func(r *request.Request) { r.Path = "/b" },
		func(r *request.Request) { r.Digest = 2 },
	} {
		other := base
		change(&other)
		is.True(FingerprintOf(&base) != FingerprintOf(&other))
	}
}

// Guards against a mark that has no effect, never expires or cannot be cleared.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	l := NewList()
	verdict := func(at time.Time) Verdict { v, _ := l.Verdict(7, at); return v }
	is.Equal(verdict(start), Unrestricted)
	l.Mark("bosho", []Fingerprint{7}, start)
	is.Equal(verdict(start), Exclusive)
	l.Clear(7, start)
	is.Equal(verdict(start), Unrestricted)
	l.Mark("bosho", []Fingerprint{7}, start)
	l.Mark("bosho", []Fingerprint{7}, start.Add(time.Second))
	is.Equal(verdict(start.Add(time.Minute)), Refused)
	is.Equal(verdict(start.Add(DefaultDuration+time.Second)), Unrestricted)
	l.Mark("bosho", []Fingerprint{8}, start.Add(DefaultDuration+time.Second))
	is.Equal(len(*l.marks.Load()), 1)
}

// Guards against marks that do not reach other instances, and against marks that never
// expire because two instances keep sending them to each other.
func TestExchange(t *testing.T) {
	is := is.New(t)
	a, b := NewList(), NewList()
	a.Mark("bosho", []Fingerprint{7, 7, 8}, start)
	now := start
	exchange := func(from, to *List) bool {
		entries := from.Entries(now)
		now = now.Add(30 * time.Millisecond) // the message delay
		return to.Merge(entries, now)
	}
	is.True(exchange(a, b))
	is.Equal(a.Digest(now), b.Digest(now))
	for range 100 {
		is.True(!exchange(b, a))
		is.True(!exchange(a, b))
	}
	verdict, remaining := b.Verdict(7, now)
	is.Equal(verdict, Refused)
	is.True(remaining <= start.Add(DefaultDuration).Sub(now)+time.Second)
	now = start.Add(time.Minute)
	a.Clear(8, now)
	is.True(exchange(a, b))
	verdict, _ = b.Verdict(8, now)
	is.Equal(verdict, Unrestricted)
	now = start.Add(DefaultDuration + 2*time.Minute)
	is.Equal(len(b.Entries(now)), 0)
}

// Guards against marks for requests that were not in flight at a crash, and against a
// crash for which nothing is marked.
func TestCrashDetector(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name    string
		observe func(d *CrashDetector) []Fingerprint
		want    int
	}{
		{"evidence without a lost connection", func(d *CrashDetector) []Fingerprint { return d.CrashObserved(at(0)) }, 0},
		{"two lost connections, then evidence", func(d *CrashDetector) []Fingerprint {
			d.ConnectionLost(1, at(0), at(10))
			d.ConnectionLost(2, at(0), at(20))
			return d.CrashObserved(at(900))
		}, 2},
		{"evidence too late", func(d *CrashDetector) []Fingerprint {
			d.ConnectionLost(1, at(0), at(10))
			return d.CrashObserved(at(1011))
		}, 0},
		{"evidence twice marks once", func(d *CrashDetector) []Fingerprint {
			d.ConnectionLost(1, at(0), at(10))
			d.CrashObserved(at(20))
			return d.CrashObserved(at(30))
		}, 0},
		{"lost connection noticed after the evidence", func(d *CrashDetector) []Fingerprint {
			d.CrashObserved(at(20))
			return d.ConnectionLost(1, at(0), at(30))
		}, 1},
		{"dispatched after the evidence", func(d *CrashDetector) []Fingerprint {
			d.CrashObserved(at(20))
			return d.ConnectionLost(1, at(25), at(30))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(len(c.observe(NewCrashDetector())), c.want)
		})
	}
}
