package settings

import (
	"encoding/hex"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// digestText returns the digest of a key as it stands in the settings.
func digestText(key string) string {
	digest := fleet.DigestKey(key)
	return hex.EncodeToString(digest[:])
}

// teamsText is a valid tree with teams. No key stands in it.
func teamsText() string {
	text := strings.Replace(sampleText, "[service.photos]", "[service.photos]\nallow_anonymous = true", 1)
	return text + "\n[team.high]\nteam_priority = 9\nkey_digests = " + digestText("k1") + ", " + digestText("k2") + "\n[team.plain]\nkey_digests = " + digestText("k3") + "\n[team.closed]\n"
}

// Guards against a key that finds another team or none, and against ranks that put the
// priority of a request before that of its team or change in trees without teams.
func TestTeams(t *testing.T) {
	is := is.New(t)
	tree := mustParse(t, teamsText())
	is.True(tree.HasTeams())
	for key, name := range map[string]string{"k1": "high", "k2": "high", "k3": "plain", "k4": "", "": ""} {
		team, known := tree.TeamByKey(fleet.DigestKey(key))
		is.Equal(team.Name, name)
		is.Equal(known, name != "")
	}
	is.True(tree.AllowsAnonymous("photos"))
	is.True(!tree.AllowsAnonymous("graves"))
	is.True(!tree.AllowsAnonymous("none"))
	is.True(tree.QueuePriority("high", 0) > tree.QueuePriority("plain", 8))
	is.True(tree.QueuePriority("high", 1) > tree.QueuePriority("high", 0))
	is.Equal(tree.QueuePriority("plain", 5), tree.QueuePriority("", 5))
	is.Equal(tree.QueuePriority("unknown", 5), tree.QueuePriority("", 5))
	without := mustParse(t, sampleText)
	is.True(!without.HasTeams())
	is.Equal(without.QueuePriority("high", 5), 5)
	values, err := tree.Effective("team.high")
	is.NoErr(err)
	is.Equal(len(values), 2)
	_, err = tree.Effective("team.none")
	is.True(err != nil)
}

// Guards against malformed teams that take effect, and against a message that shows what is
// a key if the operators forgot to hash it.
func TestMalformedTeams(t *testing.T) {
	digest := digestText("k3")
	for name, c := range map[string]struct{ old, next, key string }{
		"key in place of a digest": {digest, "secretkey", "key_digests"},
		"key beside a digest":      {digest, digest + ", secretkey", "key_digests"},
		"short digest":             {digest, digest[:62], "key_digests"},
		"digest of another hash":   {digest, digest + "00", "key_digests"},
		"key of another team":      {digest, digestText("k1"), "key_digests"},
		"upper-case duplicate":     {digest, strings.ToUpper(digestText("k1")), "key_digests"},
		"twice in a team":          {digest, digest + "," + digest, "key_digests"},
		"written twice":            {digest, digest + "\nkey_digests = secretkey", "key_digests"},
		"without an equals sign":   {"key_digests = " + digest, "key_digests secretkey", "key_digests"},
		"in another section":       {"[team.plain]\n", "[domain.east]\nregion = kyushu\n", "key_digests"},
		"before the first section": {"\n[DEFAULT]", "key_digests = secretkey\n[DEFAULT]", "key_digests"},
		"priority too high":        {"team_priority = 9", "team_priority = 10", "team_priority"},
		"request setting":          {"team_priority = 9", "priority = 9", "priority"},
		"bad name":                 {"[team.plain]", "[team.Plain]", "team.Plain"},
		"same name":                {"[team.plain]", "[team.high]", "team.high"},
		"anonymous as number":      {"allow_anonymous = true", "allow_anonymous = 1", "allow_anonymous"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(teamsText(), c.old, c.next, 1)
			if text == teamsText() {
				t.Fatalf("%q is not in the text", c.old)
			}
			_, err := Parse(text, "test.ini")
			if err == nil {
				t.Fatal("accepted")
			}
			checkIssuesComplete(t, err)
			if !strings.Contains(err.Error(), c.key) {
				t.Errorf("%v does not name %s", err, c.key)
			}
			if strings.Contains(err.Error(), "secretkey") {
				t.Errorf("%v shows a key", err)
			}
		})
	}
}
