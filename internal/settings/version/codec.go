package version

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/store"
)

// ErrCorrupt means that a stored value is no settings version. Test with errors.Is.
var ErrCorrupt = errors.New("the stored value is no settings version; restore the key from the history or a backup of the store")

// Digest returns the SHA256 that goes with text.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Encode returns the stored form of v. It returns store.ErrTooLarge when the
// store cannot hold it.
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

// Decode reads the stored form and checks number, write ID and digest. It
// returns ErrCorrupt when value is anything else.
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
