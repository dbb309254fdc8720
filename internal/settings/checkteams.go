package settings

import (
	"fmt"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/textlist"
)

// checkKeyDigests returns an error unless text is a list of digests. It does not quote the
// text, which is a key if the operators forgot to hash it.
func checkKeyDigests(text string) error {
	for i, item := range textlist.Split(text) {
		if _, ok := parseKeyDigest(item); !ok {
			return errors.Errorf("item %d is no SHA-256 in hexadecimal", i+1)
		}
	}
	return nil
}

// checkTeams reports keys that occur twice.
func (d *document) checkTeams() {
	holders := map[fleet.KeyDigest]string{}
	for _, s := range d.inOrder {
		if s.level != LevelTeam {
			continue
		}
		for i, item := range textlist.Split(s.values["key_digests"]) {
			digest, _ := parseKeyDigest(item)
			if other, taken := holders[digest]; taken {
				d.addIssue(s.issueAt("key_digests", fmt.Sprintf("item %d is also in [%s]", i+1, other), "give each key to one team, once"))
			}
			holders[digest] = s.name
		}
	}
}
