package events

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/events.md")

const cataloguePage = "../../docs/events.md"

// areas are the sections of the page. Each starts at number from and ends before the next.
var areas = []struct {
	from  int
	title string
}{
	{1000, "Process"},
	{1050, "Instance"},
	{1100, "Authority over shards"},
	{1200, "Holder of a shard"},
	{1300, "Settings and their distribution"},
	{1400, "Request at the holder of its shard"},
	{1450, "Request at the entry instance"},
	{1500, "Instances of the fleet"},
	{1600, "Other"},
	{1700, "Instance on a platform with its own list of servers"},
}

const pageHead = `# Events

Each line of the records is a JSON object with the fields ` + "`at`" + ` (RFC 3339, UTC), ` + "`event`" + ` (number), ` + "`name`" + `, ` +
	"`level`" + `, ` + "`msg`" + `, and, except in events_dropped,
` + "`instance`" + ` and ` + "`domain`" + ` of the instance that wrote it. The table lists the fields that an event adds; "–" means none, or
fields that the test cannot find in the code. An event that lists ` + "`instance`" + ` or ` + "`domain`" + ` repeats that field: the first value is the
writer, the second one is what the event is about. Numbers are never reused. Durations are in milliseconds.

This page is generated from the code: ` + "`" + updateCommand + "`" + `.
`

// updateCommand is the command that regenerates the page.
const updateCommand = "go test ./internal/events -run TestCatalogue -update"

// render returns the page for the registered events.
func render(events map[int]Event, fields map[string][]string) string {
	var page strings.Builder
	page.WriteString(pageHead)
	area := -1
	for _, number := range slices.Sorted(maps.Keys(events)) {
		for area+1 < len(areas) && number >= areas[area+1].from {
			area++
			if area+1 == len(areas) || number < areas[area+1].from {
				fmt.Fprintf(&page, "\n## %s\n\n| Number | Name | Level | Message | Fields |\n|---|---|---|---|---|\n", areas[area].title)
			}
		}
		e := events[number]
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Message, fieldList(fields[e.Name]))
	}
	return page.String()
}

func fieldList(fields []string) string {
	if len(fields) == 0 {
		return "–"
	}
	quoted := make([]string, len(fields))
	for n, field := range fields {
		quoted[n] = "`" + field + "`"
	}
	return strings.Join(quoted, ", ")
}

// Guards against a page that lacks an event or differs from the code.
func TestCatalogue(t *testing.T) {
	fields, err := fieldsInCode("..", catalogue)
	if err != nil {
		t.Fatal(err)
	}
	want := render(catalogue, fields)
	if *update {
		if err := os.WriteFile(cataloguePage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(cataloguePage)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != want {
		t.Errorf("docs/events.md differs from the code: %s; rewrite it with: %s", firstDifference(string(page), want), updateCommand)
	}
}

func firstDifference(page, want string) string {
	pageLines, wantLines := strings.Split(page, "\n"), strings.Split(want, "\n")
	for n := range max(len(pageLines), len(wantLines)) {
		switch {
		case n >= len(pageLines):
			return fmt.Sprintf("the page lacks %q", wantLines[n])
		case n >= len(wantLines):
			return fmt.Sprintf("the code lacks %q", pageLines[n])
		case pageLines[n] != wantLines[n]:
			return fmt.Sprintf("the page has %q, the code %q", pageLines[n], wantLines[n])
		}
	}
	return "they are equal"
}

// Guards against event names that are missing, used twice or not in snake case, and
// against messages that are not a sentence or that break the table of the page.
func TestEventNamesAndMessages(t *testing.T) {
	names := map[string]int{}
	for number, e := range catalogue {
		if other, used := names[e.Name]; used {
			t.Errorf("events %d and %d have the name %s", number, other, e.Name)
		}
		names[e.Name] = number
		if e.Name == "" || strings.ToLower(e.Name) != e.Name || strings.ContainsAny(e.Name, " -|") {
			t.Errorf("event %d: the name %q is not in snake case", number, e.Name)
		}
		if !strings.HasSuffix(e.Message, ".") || strings.ContainsAny(e.Message, "|\n") {
			t.Errorf("event %d: the message %q is not a sentence", number, e.Message)
		}
	}
}
