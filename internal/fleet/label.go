package fleet

import (
	"encoding/json"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Label is the name of a service or failure domain.
type Label string

// maxNameBytes is the greatest length of a name. The keys of the platform's store are no longer.
const maxNameBytes = 200

// UnmarshalJSON implements json.Unmarshaler. It accepts text of 1 to maxNameBytes bytes
// without control characters.
func (l *Label) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return errors.Wrap(err, "name of a service or failure domain")
	}
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) {
		return errors.Errorf("name %.40q of a service or failure domain has not 1 to %d bytes of UTF-8", s, maxNameBytes)
	}
	for _, r := range s {
		if unicode.IsControl(r) {
			return errors.Errorf("name %.40q of a service or failure domain contains a control character", s)
		}
	}
	*l = Label(s)
	return nil
}

// CheckServerName returns an error unless name can be the name of a server, which is sent
// in request heads: 1 to maxNameBytes visible ASCII characters.
func CheckServerName(name string) error {
	if name == "" || len(name) > maxNameBytes || !IsVisible(name) {
		return errors.Errorf("server name %.40q has not 1 to %d visible ASCII characters", name, maxNameBytes)
	}
	return nil
}
