package decode

import (
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const validLine = `{"level":"info","msg":"m","at":"2026-12-04T10:00:00Z","event":1001,"name":"instance_started","instance":"entry-a","domain":"d"}`

// Guards against an invalid line that ends the reading or is dropped without being
// reported.
func TestBadLinesAreReported(t *testing.T) {
	for name, c := range map[string]struct{ line, reason string }{
		"text":             {"panic: out of memory", "not a JSON object"},
		"array":            {"[1]", "not a JSON object"},
		"cut off":          {validLine[:60], "the JSON object is cut off or damaged"},
		"cut at the end":   {validLine[:len(validLine)-1], "the JSON object is cut off or damaged"},
		"two objects":      {validLine + validLine, "there is more after the JSON object"},
		"no time":          {`{"event":1001,"instance":"a"}`, `field "at" is not a time (RFC 3339)`},
		"bad time":         {`{"at":"noon","event":1001}`, `field "at" is not a time (RFC 3339)`},
		"no event":         {`{"at":"2026-12-04T10:00:00Z"}`, `field "event" is not a number`},
		"event as text":    {`{"at":"2026-12-04T10:00:00Z","event":"1001"}`, `field "event" is not a number`},
		"longer than 1 MB": {`{"at":"` + strings.Repeat("x", maxLineBytes) + `"}`, "the line is longer than 1 MiB"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			records, bad, err := ReadRecords("a.records", strings.NewReader(validLine+"\n\n"+c.line+"\n"+validLine))
			is.NoErr(err)
			is.Equal(len(records), 2)
			is.Equal(len(bad), 1)
			is.Equal(bad[0].String(), "a.records:3: "+c.reason)
		})
	}
}

// Guards against mistaking the instance that a line is about for the one that wrote it.
func TestRepeatedFieldKeepsBothValues(t *testing.T) {
	is := is.New(t)
	line := `{"at":"2026-12-04T10:00:00Z","event":1500,"name":"instance_state","instance":"entry-a","domain":"d","instance":"entry-b@1","domain":"e","state":"gone"}`
	records, _, err := ReadRecords("a", strings.NewReader(line))
	is.NoErr(err)
	is.Equal(records[0].Instance, "entry-a")
	is.Equal(records[0].Text("other_instance"), "entry-b@1")
	is.Equal(records[0].Text("state"), "gone")
}

// Guards against dropping events that this version does not know.
func TestUnknownEventIsKept(t *testing.T) {
	is := is.New(t)
	records, bad, err := ReadRecords("a", strings.NewReader(`{"at":"2026-12-04T10:00:00Z","event":9999,"name":"later","instance":"a","n":{"x":[1]}}`))
	is.NoErr(err)
	is.Equal(len(bad), 0)
	is.Equal(records[0].Event, 9999)
}

// Guards against an events_dropped record that is not assigned to an instance.
func TestLineWithoutInstanceBelongsToItsNeighbour(t *testing.T) {
	is := is.New(t)
	dropped := `{"at":"2026-12-04T10:00:00Z","event":1000,"name":"events_dropped","count":7}`
	for _, text := range []string{validLine + "\n" + dropped, dropped + "\n" + validLine} {
		records, _, err := ReadRecords("a", strings.NewReader(text))
		is.NoErr(err)
		is.Equal(records[0].Instance, "entry-a")
		is.Equal(records[1].Instance, "entry-a")
	}
}

// Guards against a verification based on incomplete evidence.
func TestDamagedEvidenceIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"cut off":           `{"runs":[{"request_id":"a"`,
		"no runs":           `{"dropped":0}`,
		"run without an ID": `{"runs":[{"server":"s"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := ReadRunLog(strings.NewReader(text))
			is.True(err != nil)
		})
	}
	is := is.New(t)
	_, err := ReadCallersLog(strings.NewReader(`[{"kind":"visit"}]`))
	is.True(err != nil)
}

// Guards against a difference between the fast decoding and the token by token reference.
func TestFieldDecodersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"instance", "domain", `a\"b`, "x:{"})
		value := rapid.SampledFrom([]string{`"t"`, `"}:\"{"`, "1.5", "true", "null", `{"a":{"b":1}}`, `["a:b",{"c":2}]`})
		line := "{"
		for n := range rapid.IntRange(0, 5).Draw(t, "fields") {
			if n > 0 {
				line += ", "
			}
			line += `"` + name.Draw(t, "name") + `" : ` + value.Draw(t, "value")
		}
		line += rapid.SampledFrom([]string{"}", "} ", "", "}}"}).Draw(t, "end")
		got, gotErr := parseFields([]byte(line))
		want, wantErr := parseTokens([]byte(line))
		if !reflect.DeepEqual(got, want) || (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("%s: %v %v, token by token %v %v", line, got, gotErr, want, wantErr)
		}
	})
}
