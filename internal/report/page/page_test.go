package page

import (
	"bytes"
	"encoding/xml"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/report"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// sampleOverview is a small overview that has every kind of mark.
func sampleOverview() report.Overview {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	latencies := report.Latencies{Count: 3, P50: 5 * time.Millisecond, P90: 9 * time.Millisecond, P99: 30 * time.Millisecond}
	return report.Overview{
		Summary: report.Summary{
			Total:   report.Counts{Sent: 7, Answered: 3, NotRun: 2, Unknown: 1, NotRecorded: 1},
			Rows:    []report.SummaryRow{{Service: "<b>bosho</b>", Hour: start, Latencies: latencies}},
			Missing: []string{"what instance entry-a did"},
		},
		Unanswered: report.Unanswered{Requests: []report.UnansweredRequest{{ID: "id-1", Key: `"><script>alert(1)</script>`, Outcome: outcome.Unknown}}},
		Timeline: report.Timeline{Width: time.Second, Buckets: []report.Bucket{
			{Start: at(0), Counts: report.Counts{Sent: 6, Answered: 3, NotRun: 2, Unknown: 1}, Latencies: latencies},
			{Start: at(1)},
			{Start: at(2), Counts: report.Counts{Sent: 1, NotRecorded: 1}, Latencies: latencies},
		}},
		ShardHistories: []report.ShardHistory{{Shard: "bosho/0",
			Tenures:       []report.Tenure{{Holder: "entry-a", From: at(0), Until: at(1), EndMissing: true}, {Holder: "entry-b", From: at(2), Until: at(3)}},
			Takeovers:     []report.Takeover{{From: at(2), Until: at(2)}},
			MissingOwners: []report.MissingOwner{{At: at(3)}},
		}},
		Domains: []report.DomainHistory{{Name: "kyu-naka", Changes: []report.DomainChange{{OutOfService: true, Version: 2, Begin: at(0)}}}},
	}
}

func render(t *testing.T, b report.Overview) string {
	var out bytes.Buffer
	is.New(t).NoErr(Write(&out, b))
	return out.String()
}

// Guards against a page that loads resources from the network, and against a key of a
// caller being interpreted as markup.
func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	text := render(t, sampleOverview())
	for _, outside := range []string{"http:", "https:", "src=", "href=", "url(", "@import", "<script", "<b>", "ZgotmplZ"} {
		if strings.Contains(text, outside) {
			t.Errorf("the page contains %q", outside)
		}
	}
	is.True(strings.Contains(text, "what instance entry-a did"))
}

var plots = regexp.MustCompile(`(?s)<svg viewBox="0 0 990 ([0-9.]+)".*?</svg>`)

// Guards against marks that lie outside of their plot, have a negative size or are
// missing.
func TestPlots(t *testing.T) {
	is := is.New(t)
	found := plots.FindAllStringSubmatch(render(t, sampleOverview()), -1)
	is.Equal(len(found), 4) // outcomes, latencies, holders and their times
	marks := map[string]int{}
	for _, plot := range found {
		height, err := strconv.ParseFloat(plot[1], 64)
		is.NoErr(err)
		countMarks(t, plot[0], height, marks)
	}
	is.Equal(marks, map[string]int{
		"rect answered": 1, "rect not-run": 1, "rect unknown": 1, "rect not-recorded": 1,
		"polyline p50": 2, "polyline p90": 2, "polyline p99": 2, // the bucket without answers interrupts them
		"rect holder0 cut": 1, "rect holder1": 1, "rect pause": 1, "rect orphan": 1,
		"line grid": 10,
	})
}

// countMarks parses a plot as XML, counts its marks and checks that each lies inside.
func countMarks(t *testing.T, plot string, height float64, marks map[string]int) {
	decoder := xml.NewDecoder(strings.NewReader(plot))
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			return
		}
		if err != nil {
			t.Fatalf("%v in %s", err, plot)
		}
		element, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		attributes := map[string]string{}
		for _, a := range element.Attr {
			attributes[a.Name.Local] = a.Value
		}
		if class := attributes["class"]; class != "" {
			marks[element.Name.Local+" "+class]++
		}
		if element.Name.Local == "rect" {
			checkInside(t, attributes, height)
		}
	}
}

func checkInside(t *testing.T, attributes map[string]string, height float64) {
	number := func(name string) float64 {
		value, err := strconv.ParseFloat(attributes[name], 64)
		if err != nil {
			t.Fatalf("%s of %v: %v", name, attributes, err)
		}
		return value
	}
	x, top, w, h := number("x"), number("y"), number("width"), number("height")
	// A mark at the end of the axis is 1 wide.
	if x < plotLeft || x+w > plotLeft+plotWidth+1 || top < 0 || top+h > height || w <= 0 || h <= 0 {
		t.Errorf("a mark lies outside of its plot: %v", attributes)
	}
}

// Guards against a failure or empty plots when nothing is recorded.
func TestEmptyOverview(t *testing.T) {
	is := is.New(t)
	text := render(t, report.Overview{})
	is.Equal(len(plots.FindAllString(text, -1)), 0)
	for _, note := range []string{"No requests are recorded", "No answers are recorded", "No tenures are recorded", "None are recorded"} {
		is.True(strings.Contains(text, note))
	}
}

// Guards against rounding that hides a request that was not answered.
func TestShareNeverRoundsUpToAll(t *testing.T) {
	is := is.New(t)
	is.Equal(share(999_999, 1_000_000), "99.99 %")
	is.Equal(share(5, 5), "100.00 %")
	is.Equal(share(0, 0), "-")
}
