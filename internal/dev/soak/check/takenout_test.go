package check

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// Guards against requests to a domain that is taken out which the soak does not report, against
// exceptions that are wider than the platform's pages allow, and against a domain that stays out.
func TestRequestsToDomainsTakenOutAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		arrivals []float64 // at the domain that is out from 4 to 20 s
		prepare  func(*Evidence)
		found    string
	}{
		"in time":                      {arrivals: []float64{8.9, 21}},
		"too late":                     {arrivals: []float64{9.1, 21}, found: "domain out"},
		"too late, after a freeze":     {arrivals: []float64{9.1, 21}, prepare: func(e *Evidence) { e.Impairments.impair(Freeze("entry-0"), 5, 6) }},
		"too late, not in touch":       {arrivals: []float64{9.1, 21}, prepare: func(e *Evidence) { e.Impairments.impair("entry-0", 5, 6.2) }},
		"too late, in touch again":     {arrivals: []float64{9.3, 21}, prepare: func(e *Evidence) { e.Impairments.impair("entry-0", 5, 6.2) }, found: "domain out"},
		"too late, another impaired":   {arrivals: []float64{9.1, 21}, prepare: func(e *Evidence) { e.Impairments.impair("entry-1", 5, 9) }, found: "domain out"},
		"nothing after the end":        {arrivals: []float64{5}, found: "domain back"},
		"nothing, out again":           {arrivals: []float64{5}, prepare: func(e *Evidence) { e.DomainsOut = append(e.DomainsOut, DomainOut{"d", at(22), at(29)}) }},
		"nothing, the store was out":   {arrivals: []float64{5}, prepare: func(e *Evidence) { e.Impairments.impair(Store, 19, 23) }},
		"the last requests before it":  {arrivals: []float64{5}, prepare: func(e *Evidence) { e.Arrivals = e.Arrivals[:1] }},
		"late at another domain's end": {arrivals: []float64{5, 24.9}},
	} {
		t.Run(name, func(t *testing.T) {
			e := evidence()
			e.Processes = []Process{{Instance: "entry-0", Number: 1, StartedAt: at(0)}}
			e.DomainsOut = []DomainOut{{Domain: "d", AckedAt: at(4), TakenBackAt: at(20)}}
			arrive := func(id, domain string, second float64) {
				e.Arrivals = append(e.Arrivals, backend.Arrival{RequestID: id, Server: "i-1", Domain: domain, At: at(second)})
				e.Attempts = append(e.Attempts, &caller.Attempt{ID: id, Route: readRoute, Instance: "entry-0", Process: 1, StartedAt: at(second), SentAt: at(second), EndedAt: at(second + 0.1)})
			}
			for n, second := range c.arrivals {
				arrive(string(rune('a'+n)), "d", second)
			}
			arrive("other", "other", 26)
			if c.prepare != nil {
				c.prepare(e)
			}
			e.index()
			found := ""
			for _, v := range checkDomainsOut(e) {
				found += v.Check
			}
			is.New(t).Equal(found, c.found)
		})
	}
}
