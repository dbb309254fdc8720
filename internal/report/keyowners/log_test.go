package keyowners

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// clock returns the time at so many seconds, as in the lines.
func clock(seconds float64) time.Time {
	return time.Date(2026, 12, 5, 20, 10, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
}

// granted returns the line of a new grant.
func granted(instance string, epoch int, server string, fence int, sent float64) string {
	return fmt.Sprintf(`{"event":1742,"name":"keys_granted","at":%q,"instance":%q,"epoch":%d,"grants":[{"service":"other","from":0,"to":9,"server":"x","fence":99},`+
		`{"service":"plots","from":0,"to":9,"server":%q,"start_ms":1,"fence":%d,"sent_at":%q,"outcome":"done"}]}`+"\n",
		clock(sent+0.05).Format(time.RFC3339Nano), instance, epoch, server, fence, clock(sent).Format(time.RFC3339Nano))
}

// ended returns the line of the end of a grant; sent is negative for that of an earlier tenure.
func ended(instance string, epoch int, server string, fence int, sent, at, validUntil float64, reason string) string {
	sentAt := ""
	if sent >= 0 {
		sentAt = fmt.Sprintf(`"sent_at":%q,`, clock(sent).Format(time.RFC3339Nano))
	}
	return fmt.Sprintf(`{"event":1743,"name":"key_grants_ended","at":%q,"instance":%q,"epoch":%d,"grants":[{"service":"plots","from":0,"to":9,"server":%q,"start_ms":1,"fence":%d,%s"valid_until":%q,"reason":%q,"ended_at":%q}]}`+"\n",
		clock(at+0.05).Format(time.RFC3339Nano), instance, epoch, server, fence, sentAt, clock(validUntil).Format(time.RFC3339Nano), reason, clock(at).Format(time.RFC3339Nano))
}

// Guards against two owners that are not found, and against ones that there were not.
func TestOverlapsOfGrants(t *testing.T) {
	cases := []struct {
		name  string
		lines []string
		// from and until are those of the only overlap, or 0; known is unset if its end is not known.
		from, until float64
		known       bool
	}{
		{"move after a release", []string{
			granted("entry-1", 1, "a", 1, 0), ended("entry-1", 1, "a", 1, 0, 5, 8, "released"), granted("entry-1", 1, "b", 2, 5),
		}, 0, 0, true},
		{"move after the expiry", []string{
			granted("entry-1", 1, "a", 1, 0), ended("entry-1", 1, "a", 1, 0, 8.1, 8, "expired"), granted("entry-1", 1, "b", 2, 8.1),
		}, 0, 0, true},
		{"the server has ended", []string{
			granted("entry-1", 1, "a", 7, 0), ended("entry-1", 1, "a", 3, -1, 5, 8, "gone"), granted("entry-1", 1, "b", 8, 5),
		}, 0, 0, true},
		{"the release ends the grants of both tenures", []string{
			granted("entry-1", 1, "a", 1, 0), ended("entry-1", 1, "a", 1, 0, 2, 60, "tenure-ended"),
			granted("entry-2", 2, "a", 11, 3), ended("entry-2", 2, "a", 11, 3, 5, 60, "released"), granted("entry-2", 2, "b", 12, 5),
		}, 0, 0, true},
		{"a successor that doesn't wait for all grants", []string{
			granted("entry-1", 1, "a", 1, 0), ended("entry-1", 1, "a", 1, 0, 2, 8, "tenure-ended"),
			ended("entry-2", 2, "a", 1, -1, 4, 3.9, "expired"), granted("entry-2", 2, "b", 11, 4),
		}, 4, 8, true},
		{"a holder that goes on beside its successor", []string{
			granted("entry-2", 2, "b", 11, 4), granted("entry-1", 1, "a", 1, 0), ended("entry-1", 1, "a", 1, 0, 9, 15, "tenure-ended"),
			ended("entry-2", 2, "b", 11, 4, 10, 13, "released"),
		}, 4, 10, true},
		{"a holder that was killed", []string{
			granted("entry-1", 1, "a", 1, 0), ended("entry-2", 2, "a", 1, -1, 9, 8.9, "expired"), granted("entry-2", 2, "b", 11, 9),
		}, 9, 0, false},
		{"a grant that is replaced under a higher fence", []string{
			granted("entry-1", 1, "a", 1, 0), granted("entry-1", 1, "a", 2, 1), ended("entry-1", 1, "a", 2, 1, 5, 8, "released"), granted("entry-1", 1, "b", 3, 5),
		}, 0, 0, true},
		{"a release under a lower fence", []string{
			granted("entry-1", 1, "a", 1, 0), granted("entry-2", 2, "a", 11, 4), ended("entry-1", 1, "a", 1, 0, 5, 8, "released"),
			granted("entry-1", 1, "b", 2, 5), ended("entry-2", 2, "a", 11, 4, 9, 12, "released"),
		}, 5, 9, true},
		{"the keys come back", []string{
			granted("entry-1", 1, "a", 1, 0), ended("entry-1", 1, "a", 1, 0, 5, 8, "released"), granted("entry-1", 1, "b", 2, 5),
			ended("entry-1", 1, "b", 2, 5, 6, 9, "released"), granted("entry-1", 1, "a", 3, 6),
		}, 0, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLog("plots", 4)
			is.NoErr(l.Read(strings.NewReader(strings.Join(tc.lines, ""))))
			h := l.History()
			if tc.from == 0 {
				is.Equal(len(h.Overlaps), 0)
				return
			}
			is.Equal(len(h.Overlaps), 1)
			is.Equal(h.Overlaps[0].From, clock(tc.from))
			is.Equal(h.Overlaps[0].Until.IsZero(), !tc.known)
			is.True(!tc.known || h.Overlaps[0].Until.Equal(clock(tc.until)))
		})
	}
}

// Guards against grants of other keys, and against an account that hides that lines are missing.
func TestOnlyLinesOfTheKeyCount(t *testing.T) {
	is := is.New(t)
	l := NewLog("plots", 10)
	is.NoErr(l.Read(strings.NewReader(granted("entry-1", 1, "a", 1, 0) + granted("entry-1", 1, "b", 2, 1) +
		`{"event":1711,"name":"holder_ended","at":"2026-12-05T20:10:02Z","instance":"entry-1","epoch":1,"reason":"store-outage","unconfirmed_ms":15100}
{"event":1000,"name":"events_dropped","at":"2026-12-05T20:10:02Z","instance":"entry-1","count":12}
not a line
`)))
	h := l.History()
	is.Equal(len(h.Grants), 0)
	is.Equal(h.Events, []Event{{At: clock(2), Instance: "entry-1", Epoch: 1, Name: "holder_ended", Detail: "reason=store-outage unconfirmed_ms=15100"}})
	is.Equal(h.DroppedLines, int64(12))
	is.Equal(h.UnreadableLines, 1)
}
