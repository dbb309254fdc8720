package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const sampleText = `
[DEFAULT]
timeout = 2s

[domain.north]
region = kyushu
[domain.south]
region = kyushu

[service.graves]
keyed = true
shards = 2
timeout = 1s
[service.graves.north]
priority = 7
[service.graves.north.tombs]
from = t
to = u
timeout = 30s

[service.photos]

[server.graves-1]
service = graves
domain = north
address = 10.0.0.1:80
shard = 0
[server.graves-2]
service = graves
domain = south
address = 10.0.0.2:80
shard = 1
slots = 5
[server.photos-1]
service = photos
domain = south
address = 10.0.0.3:80
`

func mustParse(t testing.TB, text string) *Tree {
	t.Helper()
	tree, err := Parse(text, "test.ini")
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// Guards against values that are not inherited or not overridden by a more specific section.
func TestParseInherits(t *testing.T) {
	is := is.New(t)
	tree := mustParse(t, sampleText)
	is.Equal(tree.RequestPolicy("graves", "north", "tomb").Timeout, 30*time.Second)
	is.Equal(tree.RequestPolicy("graves", "north", "tomb").Priority, 7)
	is.Equal(tree.RequestPolicy("graves", "north", "u").Timeout, time.Second)
	is.Equal(tree.RequestPolicy("graves", "south", "tomb").Priority, 5)
	is.Equal(tree.RequestPolicy("graves", "nowhere", "tomb").Timeout, time.Second)
	is.Equal(tree.RequestPolicy("photos", "north", "x").Timeout, 2*time.Second)
	is.Equal(tree.RequestPolicy("none", "north", "x").Timeout, 2*time.Second)
	is.Equal(tree.RequestPolicy("graves", "north", "x").Hedge, false) // keyed
	is.Equal(tree.RequestPolicy("photos", "north", "x").Hedge, true)
	is.Equal(tree.ServerPolicy("graves-2").Slots, 5)
	is.Equal(tree.ServerPolicy("graves-1").Slots, 3)
	is.Equal(len(tree.ServersOf("graves", 1)), 1)
	is.Equal(tree.ServersOf("graves", 1)[0].Name, "graves-2")
	is.Equal(tree.HomeRegion("graves", 0), "kyushu")
	is.Equal(tree.Control().PromiseTTL, 600*time.Millisecond)
}

// Guards against allocations on the request path.
func TestRequestPolicyDoesNotAllocate(t *testing.T) {
	tree := mustParse(t, sampleText)
	allocs := testing.AllocsPerRun(100, func() { tree.RequestPolicy("graves", "north", "tomb") })
	if allocs != 0 {
		t.Errorf("RequestPolicy allocates %v times", allocs)
	}
}

// Guards against invalid input that is accepted, or refused without location and remedy.
func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name string
		text string // appended to sampleText
		want []string
	}{
		{"no delimiter", "[DEFAULT\nnonsense", []string{"[DEFAULT", "nonsense", "start the line with #"}},
		{"two malformed lines", "[service.x]\nabc\ndef", []string{`"abc"`, `"def"`}},
		{"unknown section", "[servce.x]\nslots = 1", []string{"[servce.x]", "no such kind of section", "[service.NAME]"}},
		{"upper case name", "[service.Graves]", []string{"[service.Graves]", "lower-case"}},
		{"section twice", "[service.photos]\nshards = 1", []string{"[service.photos]", "more than once"}},
		{"setting twice", "[service.x]\nstate = out\ntimeout = 1s\ntimeout = 1s", []string{`timeout = "1s, 1s"`, "keep one"}},
		{"unknown setting", "[service.x]\nstate = out\ntimeut = 1s", []string{`timeut = "1s"`, "no such setting", "timeout"}},
		{"unit missing", "[service.x]\nstate = out\ntimeout = 100", []string{`timeout = "100"`, "not a duration", "1ms to 1h"}},
		{"too long", "[service.x]\nstate = out\ntimeout = 2h", []string{"out of range", "1ms to 1h"}},
		{"not whole", "[service.x]\nstate = out\nslots = 2.5", []string{`slots = "2.5"`, "whole number from 1 to 64"}},
		{"overflow", "[service.x]\nstate = out\nslots = 99999999999999999999", []string{"whole number from 1 to 64"}},
		{"empty value", "[service.x]\nstate = out\nslots =", []string{`slots = ""`}},
		{"not a truth value", "[service.x]\nstate = out\nhedge = yes", []string{"set true or false"}},
		{"state", "[domain.south2]\nregion = r\nstate = gone", []string{`state = "gone"`, "set in or out"}},
		{"control below root", "[service.x]\nstate = out\npromise_ttl = 500ms", []string{"promise_ttl", "set it in [DEFAULT]"}},
		{"retention per failure domain", "[service.graves.south]\nrecord_retention = 60s", []string{"record_retention", "[DEFAULT] or [service.NAME]"}},
		{"slots per range", "[service.graves.north.a]\nfrom = a\nto = b\nslots = 1", []string{"slots", "does not belong"}},
		{"undefined service", "[service.x.north]\ntimeout = 1s", []string{`service "x" is not defined`, "add [service.x]"}},
		{"undefined failure domain", "[service.graves.west]\ntimeout = 1s", []string{`failure domain "west" is not defined`}},
		{"server without service", "[server.z]\ndomain = north\naddress = h:1", []string{"[server.z]", "service", "is missing"}},
		{"server of no service", "[server.z]\nservice = no\ndomain = north\naddress = h:1", []string{`service "no" is not defined`}},
		{"bad address", "[server.z]\nservice = graves\ndomain = north\naddress = host", []string{`address = "host"`, "host:port"}},
		{"port 0", "[server.z]\nservice = graves\ndomain = north\naddress = h:0", []string{"1 to 65535"}},
		{"address twice", "[server.z]\nservice = graves\ndomain = north\naddress = 10.0.0.1:80", []string{`server "graves-1" has the same address`}},
		{"shard too high", "[server.z]\nservice = graves\ndomain = north\naddress = h:1\nshard = 2", []string{"2 shards", "0 to 1"}},
		{"shard without server", "[service.x]\nshards = 2", []string{"shard 0 of service", "shard 1 of service", "state = out"}},
		{"more slots than connections", "[server.z]\nservice = graves\ndomain = north\naddress = h:1\nconnections = 2", []string{"2 connections for 3 slots"}},
		{"range reversed", "[service.graves.north.a]\nfrom = c\nto = b", []string{`to = "b"`, "not above from"}},
		{"range overlaps", "[service.graves.north.a]\nfrom = ta\nto = tb", []string{"[service.graves.north.a]", "overlaps [service.graves.north.tombs]"}},
		{"range open below", "[service.graves.north.a]\nto = tb", []string{"overlaps"}},
		{"range open above", "[service.graves.north.a]\nfrom = a", []string{"[service.graves.north.tombs]", "overlaps [service.graves.north.a]"}},
		{"hedge on keyed", "[service.graves.south]\nhedge = true", []string{"hedge", "one owner"}},
		{"retired without incarnation", "[instances]\nretired = entry-1", []string{`"entry-1" is not of the form NAME@INCARNATION`}},
		{"domain without region", "[domain.west]", []string{"[domain.west]", "region", "is missing"}},
		{"too many shards", "[service.x]\nstate = out\nshards = 256", []string{"259 shards", "at most 256"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(sampleText+c.text, "test.ini")
			checkIssues(t, err, c.want)
		})
	}
}

// Guards against control settings that contradict each other.
func TestParseRefusesControl(t *testing.T) {
	cases := []struct {
		text string
		want string
	}{
		{"renew_interval = 300ms", "lower it to at most 200ms"},
		{"promise_ttl = 800ms", "the sum is at most 900ms"},
		{"promise_ttl = 300ms\nrenew_interval = 100ms", "lower it below 200ms"},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			_, err := Parse("[DEFAULT]\n"+c.text, "test.ini")
			checkIssues(t, err, []string{c.want})
		})
	}
}

func checkIssues(t *testing.T, err error, want []string) {
	t.Helper()
	var issues Issues
	if !errors.As(err, &issues) {
		t.Fatalf("got %v, want Issues", err)
	}
	for _, part := range want {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error does not contain %q:\n%v", part, err)
		}
	}
	for _, issue := range issues {
		if issue.File != "test.ini" || issue.Reason == "" || issue.Remedy == "" {
			t.Errorf("issue lacks file, reason or remedy: %+v", issue)
		}
	}
}

// Guards against a check that stops at the first problem: operators should be able to
// correct all of them at once.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	text := "stray = 1\n[DEFAULT]\nslots = x\nbad line\n[servr.a]\n[server.b]\nservice = no\naddress = 1\n"
	_, err := Parse(text, "test.ini")
	var issues Issues
	is.True(errors.As(err, &issues))
	is.Equal(len(issues), 7)
	is.Equal(issues[0].Line, 4) // malformed lines are reported first
	is.Equal(issues[1].Line, 1) // setting before the first section
}
