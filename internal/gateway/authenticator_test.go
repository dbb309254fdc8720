package gateway

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// shownKey returns the credential of a caller that shows the key.
func shownKey(key string) credential.Credential {
	return credential.Credential{Given: true, Digest: fleet.DigestKey(key)}
}

// teamConfig returns a configuration with a route for anonymous callers and one for callers
// with a key. A nil map means that there are no teams.
func teamConfig(version int64, teamOfKey map[string]string) *fleet.Config {
	shares := []fleet.TrafficShare{{Service: "s", Weight: 1}}
	c := fleet.NewConfig(version, []*fleet.Service{{Name: "s"}}, []*fleet.Route{
		{Name: "closed", Host: "h", Prefix: "/p/", Priority: 3, MaxAttempts: 2, Shares: shares},
		{Name: "open", Host: "h", Prefix: "/open/", Priority: 2, MaxAttempts: 2, Shares: shares, AllowAnonymous: true},
	}, fleet.Limits{})
	if teamOfKey == nil {
		return c
	}
	teams := []*fleet.Team{{Name: "t1", Priority: 1, HasPriority: true}, {Name: "t2"}}
	keys := map[fleet.KeyDigest]string{}
	for key, team := range teamOfKey {
		keys[fleet.DigestKey(key)] = team
	}
	c.Teams = fleet.NewTeams(teams, keys)
	return c
}

// Guards against a caller that is let in without a valid key, or refused with one or on a
// route that needs none.
func TestAuthenticate(t *testing.T) {
	malformed := credential.Credential{Given: true, Malformed: true}
	with, without := teamConfig(1, map[string]string{"k1": "t1", "k2": "t2"}), teamConfig(1, nil)
	for name, c := range map[string]struct {
		config *fleet.Config
		path   string
		shown  credential.Credential
		team   string
		denial denial
	}{
		"valid key":                       {with, "/p/x", shownKey("k1"), "t1", denialNone},
		"valid key of another team":       {with, "/p/x", shownKey("k2"), "t2", denialNone},
		"valid key, open route":           {with, "/open/x", shownKey("k1"), "t1", denialNone},
		"valid key, no route":             {with, "/x", shownKey("k1"), "t1", denialNone},
		"unknown key":                     {with, "/p/x", shownKey("K1"), "", denialUnknown},
		"unknown key, open route":         {with, "/open/x", shownKey("k3"), "", denialUnknown},
		"unknown key, no route":           {with, "/x", shownKey("k3"), "", denialUnknown},
		"malformed":                       {with, "/p/x", malformed, "", denialMalformed},
		"malformed, open route":           {with, "/open/x", malformed, "", denialMalformed},
		"malformed, no route":             {with, "/x", malformed, "", denialMalformed},
		"no key":                          {with, "/p/x", credential.Credential{}, "", denialMissing},
		"no key, open route":              {with, "/open/x", credential.Credential{}, "", denialNone},
		"no key, no route":                {with, "/x", credential.Credential{}, "", denialNone},
		"teams without keys":              {teamConfig(1, map[string]string{}), "/p/x", shownKey("k1"), "", denialUnknown},
		"digest of nothing":               {with, "/p/x", credential.Credential{Given: true}, "", denialUnknown},
		"no teams, no key":                {without, "/p/x", credential.Credential{}, "", denialNone},
		"no teams, a key":                 {without, "/p/x", shownKey("k1"), "", denialNone},
		"no teams, something else":        {without, "/p/x", malformed, "", denialNone},
		"no teams, something, open route": {without, "/open/x", malformed, "", denialNone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			team, reason := authenticator{c.config}.authenticate(c.shown, c.config.Match("h", c.path))
			is.Equal(reason, c.denial)
			is.Equal(authorization{team: team}.teamName(), c.team)
		})
	}
}

// Guards against a request that is written with the name of a team that it no longer belongs
// to, or with a key after the configuration got teams.
func TestSameSender(t *testing.T) {
	for name, c := range map[string]struct {
		old, next *fleet.Config
		path, key string
		same      bool
	}{
		"nothing changed":             {teamConfig(1, map[string]string{"k": "t1"}), teamConfig(2, map[string]string{"k": "t1"}), "/p/x", "k", true},
		"another key added":           {teamConfig(1, map[string]string{"k": "t1"}), teamConfig(2, map[string]string{"k": "t1", "l": "t1"}), "/p/x", "k", true},
		"key withdrawn":               {teamConfig(1, map[string]string{"k": "t1"}), teamConfig(2, map[string]string{}), "/p/x", "k", false},
		"withdrawn on an open route":  {teamConfig(1, map[string]string{"k": "t1"}), teamConfig(2, map[string]string{}), "/open/x", "k", false},
		"key of another team":         {teamConfig(1, map[string]string{"k": "t1"}), teamConfig(2, map[string]string{"k": "t2"}), "/p/x", "k", false},
		"teams are new":               {teamConfig(1, nil), teamConfig(2, map[string]string{"k": "t1"}), "/p/x", "k", false},
		"teams are new, anonymous":    {teamConfig(1, nil), teamConfig(2, map[string]string{"k": "t1"}), "/open/x", "", false},
		"teams are gone":              {teamConfig(1, map[string]string{"k": "t1"}), teamConfig(2, nil), "/p/x", "k", false},
		"no teams":                    {teamConfig(1, nil), teamConfig(2, nil), "/p/x", "k", true},
		"anonymous on an open route":  {teamConfig(1, map[string]string{}), teamConfig(2, map[string]string{"k": "t1"}), "/open/x", "", true},
		"route is gone, with the key": {teamConfig(1, map[string]string{"k": "t1"}), fleetConfigWithoutRoutes(map[string]string{"k": "t1"}), "/p/x", "k", true},
		"route is gone, anonymous":    {teamConfig(1, map[string]string{}), fleetConfigWithoutRoutes(map[string]string{}), "/open/x", "", true},
		"route is gone, now teams":    {teamConfig(1, nil), fleetConfigWithoutRoutes(map[string]string{}), "/p/x", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := &Call{Host: "h", Path: c.path, Route: c.old.Match("h", c.path)}
			if c.key != "" {
				call.Credential = shownKey(c.key)
			}
			is.Equal(reauthorize(c.next, call).sameSender(reauthorize(c.old, call)), c.same)
		})
	}
}

// fleetConfigWithoutRoutes returns a configuration with teams in which no route matches.
func fleetConfigWithoutRoutes(teamOfKey map[string]string) *fleet.Config {
	c := fleet.NewConfig(2, nil, nil, fleet.Limits{})
	c.Teams = teamConfig(2, teamOfKey).Teams
	return c
}
