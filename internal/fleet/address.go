package fleet

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
)

// Address is the host and port of a backend server. Use ParseAddress to create one from
// text of another program.
type Address string

// maxPort is the highest TCP port.
const maxPort = 65535

// ParseAddress checks that text is a host and a port from 1 to 65535. The host becomes part
// of request heads, so that nothing but visible ASCII characters may be in it.
func ParseAddress(text string) (Address, error) {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || !IsVisible(text) {
		return "", errors.Errorf("address %q is not of the form host:port", text)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "", errors.Errorf("the port of address %q is not a number from 1 to %d", text, maxPort)
	}
	return Address(text), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	parsed, err := ParseAddress(string(text))
	if err == nil {
		*a = parsed
	}
	return err
}

// IsVisible reports whether text consists of visible ASCII characters.
func IsVisible(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
