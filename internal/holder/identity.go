package holder

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// Identity is the value of KeyHolder.
type Identity struct {
	// Name is the name of the instance; Incarnation is drawn at each start of its process.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where followers join.
	Address string `json:"address"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain"`
	// Tenure counts the elections that the process has stood for, so that its
	// tenures are told from each other.
	Tenure int64 `json:"tenure"`
}

// String returns name and incarnation.
func (i Identity) String() string {
	return i.Name + "/" + i.Incarnation
}

// sameProcess reports whether both are of one process, in whichever tenure.
func (i Identity) sameProcess(other Identity) bool {
	return i.String() == other.String()
}

// tenureName names the tenure in the record of owners.
func (i Identity) tenureName() string {
	return i.String() + "/" + strconv.FormatInt(i.Tenure, 10)
}

func (i Identity) encode() ([]byte, error) {
	text, err := json.Marshal(i)
	return text, errors.Wrap(err, "encode the holder's identity")
}

func decodeIdentity(text []byte) (Identity, error) {
	var i Identity
	err := json.Unmarshal(text, &i)
	return i, errors.Wrap(err, "the holder's key is not readable; remove it")
}
