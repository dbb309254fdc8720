package version

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/store"
)

// ErrCorrupt means that a stored value is not a valid settings version. Callers test for
// it with errors.Is.
var ErrCorrupt = errors.New("the stored value is no settings version; restore the key from the history or a backup of the store")

// Digest returns the hexadecimal SHA-256 of text, as in Version.SHA256.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Encode returns v in the form that the store holds. It returns store.ErrTooLarge if the
// form exceeds the limit of the store.
func Encode(v Version) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode the settings version")
	}
	if b.Len() > store.MaxValueBytes {
		return nil, errors.Wrapf(store.ErrTooLarge, "settings version %d has %d bytes", v.Number, b.Len())
	}
	return b.Bytes(), nil
}

// Decode parses a stored version and checks its numbers, write ID and digest. It returns
// ErrCorrupt if the value is invalid.
func Decode(value []byte) (Version, error) {
	var v Version
	if err := json.Unmarshal(value, &v); err != nil {
		return Version{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	if v.Number == 0 || v.Parent >= v.Number || v.WriteID == "" {
		return Version{}, errors.Wrapf(ErrCorrupt, "version %d, parent %d, write_id %q", v.Number, v.Parent, v.WriteID)
	}
	if Digest(v.Text) != v.SHA256 {
		return Version{}, errors.Wrapf(ErrCorrupt, "version %d: the text does not match its sha256", v.Number)
	}
	return v, nil
}
