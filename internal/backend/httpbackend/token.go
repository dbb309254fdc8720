package httpbackend

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// ParseToken parses a token of the form epoch.ballot.
func ParseToken(text string) (authority.Token, error) {
	epoch, ballot, found := strings.Cut(text, ".")
	e, errEpoch := strconv.ParseUint(epoch, 10, 64)
	b, errBallot := strconv.ParseUint(ballot, 10, 64)
	if !found || errEpoch != nil || errBallot != nil {
		return authority.Token{}, errors.Errorf("token %q is not of the form epoch.ballot", text)
	}
	return authority.Token{Epoch: e, Ballot: b}, nil
}
