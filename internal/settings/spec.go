package settings

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/textlist"
)

// Spec is the declaration of a setting.
type Spec struct {
	Name    string
	Kind    Kind
	Unit    string
	Scope   Scope
	Default string // built-in value; empty if there is none
	// Min and Max are inclusive bounds: of a KindDuration in nanoseconds, of a KindInteger
	// in its unit.
	Min, Max int64
	// Levels is the set of section kinds that may set it.
	Levels Level
	// Required means that each section of Levels must set it.
	Required bool
	// Reason describes the setting and justifies its default and range. It appears in the
	// settings reference.
	Reason string
}

// namePattern matches valid names of services, failure domains, regions, ranges and
// servers. Dots are excluded because they separate the parts of a section name.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// instancePattern matches NAME@INCARNATION. Unlike namePattern it allows dots in the name.
var instancePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}@[A-Za-z0-9-]{1,64}$`)

// Range returns a description of the accepted values.
func (s Spec) Range() string {
	switch s.Kind {
	case KindDuration:
		return fmt.Sprintf("%s to %s", shortDuration(time.Duration(s.Min)), shortDuration(time.Duration(s.Max)))
	case KindInteger:
		return fmt.Sprintf("%d to %d", s.Min, s.Max)
	}
	return string(s.Kind)
}

// validate returns an error if text is not an accepted value of the setting.
func (s Spec) validate(text string) error {
	switch s.Kind {
	case KindDuration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("not a duration")
		}
		return s.checkBounds(int64(d))
	case KindInteger:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errors.New("not a whole number")
		}
		return s.checkBounds(n)
	case KindBool:
		return checkOneOf(text, "true", "false")
	case KindState:
		return checkOneOf(text, stateIn, stateOut)
	case KindName:
		return checkName(text)
	case KindAddress:
		return checkAddress(text)
	case KindInstanceList:
		return checkInstances(text)
	case KindKeyDigests:
		return checkKeyDigests(text)
	}
	return checkKeyText(text)
}

func (s Spec) checkBounds(n int64) error {
	if n < s.Min || n > s.Max {
		return errors.New("out of range")
	}
	return nil
}

// remedy returns the instruction of an issue for an invalid value.
func (s Spec) remedy() string {
	switch s.Kind {
	case KindDuration:
		return "set a duration from " + s.Range() + ", such as " + s.example()
	case KindInteger:
		return "set a whole number from " + s.Range()
	case KindBool:
		return "set true or false"
	case KindState:
		return "set in or out"
	case KindAddress:
		return "set host:port with a port from 1 to 65535"
	case KindInstanceList:
		return "list instances as NAME@INCARNATION, separated by commas"
	case KindKeyDigests:
		return "list the SHA-256 of each key in hexadecimal, 64 digits, separated by commas (printf %s KEY | sha256sum)"
	case KindKey:
		return "set a key of at most 1024 bytes on one line"
	}
	return "set a name of lower-case letters, digits and hyphens, at most 63, starting with a letter or digit"
}

func (s Spec) example() string {
	if s.Default != "" {
		return s.Default
	}
	return shortDuration(time.Duration(s.Min))
}

func checkOneOf(text string, allowed ...string) error {
	if slices.Contains(allowed, text) {
		return nil
	}
	return errors.New("not one of " + strings.Join(allowed, ", "))
}

func checkName(text string) error {
	if namePattern.MatchString(text) {
		return nil
	}
	return errors.New("not a valid name")
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, " \t\n/") {
		return errors.New("not of the form host:port")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("the port is not a number from 1 to 65535")
	}
	return nil
}

func checkInstances(text string) error {
	for _, item := range textlist.Split(text) {
		if !instancePattern.MatchString(item) {
			return errors.Errorf("%q is not of the form NAME@INCARNATION", item)
		}
	}
	return nil
}

// maxKeyBytes is the maximum length of a bound of a key range. Callers send keys as part
// of a path, which limits their length.
const maxKeyBytes = 1024

func checkKeyText(text string) error {
	if len(text) > maxKeyBytes || strings.ContainsAny(text, "\r\n\x00") {
		return errors.New("not a key")
	}
	return nil
}

// shortDuration formats d like time.Duration.String without trailing zero units: 1h
// instead of 1h0m0s.
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
