package router

import (
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/fleet"
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
