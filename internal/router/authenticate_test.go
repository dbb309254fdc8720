package router

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/settings"
)

const servicesText = "[service.closed]\nstate = out\n[service.open]\nstate = out\nallow_anonymous = true\n"

// Guards against a caller that is let in without a valid key, or refused with one or for a
// service that needs none.
func TestAuthenticate(t *testing.T) {
	digest := fleet.DigestKey("k1")
	parse := func(text string) *settings.Tree {
		tree, err := settings.Parse(text, "test.ini")
		if err != nil {
			t.Fatal(err)
		}
		return tree
	}
	with, without := parse(servicesText+"[team.t1]\nkey_digests = "+hex.EncodeToString(digest[:])+"\n"), parse(servicesText)
	valid, unknown := credential.Parse("Token", []string{"Token k1"}), credential.Parse("Token", []string{"Token k2"})
	none, malformed := credential.Credential{}, credential.Parse("Token", []string{"k1"})
	for name, c := range map[string]struct {
		tree    *settings.Tree
		shown   credential.Credential
		service string
		team    string
		refused bool
	}{
		"valid key":                  {with, valid, "closed", "t1", false},
		"valid key, open service":    {with, valid, "open", "t1", false},
		"valid key, no service":      {with, valid, "none", "t1", false},
		"unknown key":                {with, unknown, "closed", "", true},
		"unknown key, open service":  {with, unknown, "open", "", true},
		"unknown key, no service":    {with, unknown, "none", "", true},
		"malformed":                  {with, malformed, "closed", "", true},
		"malformed, open service":    {with, malformed, "open", "", true},
		"no key":                     {with, none, "closed", "", true},
		"no key, open service":       {with, none, "open", "", false},
		"no key, no service":         {with, none, "none", "", false},
		"no teams, no key":           {without, none, "closed", "", false},
		"no teams, a key":            {without, unknown, "closed", "", false},
		"no teams, something else":   {without, malformed, "closed", "", false},
		"team without keys, any key": {parse(servicesText + "[team.t1]\n"), valid, "open", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sender := authenticate(c.tree, c.shown, c.service)
			is.Equal(sender.Refusal != "", c.refused)
			is.Equal(sender.Team, c.team)
			is.Equal(sender.KeysRequired, c.tree.HasTeams())
		})
	}
}

// Guards against a request that waits and is forwarded after its key has been withdrawn or
// moved to another team, or with a key after the tree got teams.
func TestCheckSender(t *testing.T) {
	digest := fleet.DigestKey("k1")
	tree := func(text string) *settings.Tree {
		parsed, err := settings.Parse(servicesText+text, "test.ini")
		if err != nil {
			t.Fatal(err)
		}
		return parsed
	}
	keys := "key_digests = " + hex.EncodeToString(digest[:]) + "\n"
	for name, c := range map[string]struct {
		old, next string
		kind      problem.Kind
	}{
		"unchanged":            {"[team.t1]\n" + keys, "[team.t1]\n" + keys + "[team.t2]\n", ""},
		"withdrawn":            {"[team.t1]\n" + keys, "[team.t1]\n", problem.KindUnauthorized},
		"moved":                {"[team.t1]\n" + keys, "[team.t1]\n[team.t2]\n" + keys, problem.KindNotReady},
		"teams are new":        {"", "[team.t1]\n", problem.KindUnauthorized},
		"teams are new, valid": {"", "[team.t1]\n" + keys, problem.KindNotReady},
		"teams are gone":       {"[team.t1]\n" + keys, "", problem.KindNotReady},
		"no teams":             {"", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shown := credential.Parse("Token", []string{"Token k1"})
			before := authenticate(tree(c.old), shown, "closed")
			p := checkSender(tree(c.next), &request.Request{Service: "closed", Credential: shown, Team: before.Team, HidesCredential: before.KeysRequired})
			is.Equal(p != nil, c.kind != "")
			if p != nil {
				is.Equal(p.Kind, c.kind)
				is.Equal(p.Outcome, outcome.NotRun)
			}
		})
	}
}
