package holder

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Identity identifies one tenure of a holder. Its encoding is the value of KeyHolder.
type Identity struct {
	// Name is the name of the instance. Incarnation is drawn at random when its process starts.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is the address that followers connect to.
	Address string `json:"address"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain"`
	// Tenure is the number of elections in which the process has been a candidate. It
	// distinguishes the tenures of one process.
	Tenure int64 `json:"tenure"`
}

// String returns the name and the incarnation.
func (i Identity) String() string {
	return i.Name + "/" + i.Incarnation
}

// sameProcess reports whether both identities belong to the same process, in any tenure.
func (i Identity) sameProcess(other Identity) bool {
	return i.String() == other.String()
}

// tenureName returns the name of the tenure in the record of owners.
func (i Identity) tenureName() string {
	return i.String() + "/" + strconv.FormatInt(i.Tenure, 10)
}

func (i Identity) encode() ([]byte, error) {
	text, err := json.Marshal(i)
	return text, errors.Wrap(err, "encode the identity of the holder")
}

// errUnreadableHolder means that the key of the holder was not written by one. The holder
// writes it again; if there is none, an instance is elected in its place.
var errUnreadableHolder = errors.New("the store key " + KeyHolder + " was not written by a holder; it is written again")

func decodeIdentity(text []byte) (Identity, error) {
	var i Identity
	err := json.Unmarshal(text, &i)
	if err == nil && (i.Name == "" || i.Incarnation == "") {
		err = errors.New("it names no process")
	}
	if err == nil {
		_, err = fleet.ParseAddress(i.Address)
	}
	if err != nil {
		return Identity{}, errors.Wrap(errUnreadableHolder, err.Error())
	}
	return i, nil
}
