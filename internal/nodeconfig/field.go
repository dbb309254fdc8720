package nodeconfig

import (
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/textlist"
)

// field describes one setting of the file.
type field struct {
	section  string
	key      string
	required bool
	check    func(text string) error
	remedy   string
	set      func(c *Config, text string)
}

const (
	nameRemedy    = "set a name of lower-case letters, digits and hyphens, at most 63 characters"
	addressRemedy = "set host:port with a port from 0 to 65535"
	urlRemedy     = "set a URL such as http://127.0.0.1:7100"
)

var fields = []field{
	{"instance", "name", true, checkName, nameRemedy, func(c *Config, t string) { c.Instance.Name = t }},
	{"instance", "domain", true, checkName, nameRemedy, func(c *Config, t string) { c.Instance.Domain = t }},
	{"instance", "region", true, checkName, nameRemedy, func(c *Config, t string) { c.Instance.Region = t }},
	{"listen", "callers", true, checkAddress, addressRemedy, func(c *Config, t string) { c.Listen.Callers = t }},
	{"listen", "peers", true, checkAddress, addressRemedy, func(c *Config, t string) { c.Listen.Peers = t }},
	{"listen", "operators", true, checkAddress, addressRemedy, func(c *Config, t string) { c.Listen.Operators = t }},
	{"platform", "store", true, checkURL, urlRemedy, func(c *Config, t string) { c.Platform.Store = t }},
	{"platform", "instances", true, checkURL, urlRemedy, func(c *Config, t string) { c.Platform.Instances = t }},
	{"peers", "addresses", false, checkAddresses, "list host:port, separated by commas", func(c *Config, t string) { c.Peers.Addresses = textlist.Split(t) }},
	{"records", "path", false, checkPath, "set a file name", func(c *Config, t string) { c.Records.Path = t }},
	{"trace", "endpoint", false, checkURL, urlRemedy, func(c *Config, t string) { c.Trace.Endpoint = t }},
	{"trace", "path", false, checkPath, "set a file name", func(c *Config, t string) { c.Trace.Path = t }},
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func checkName(text string) error {
	if !namePattern.MatchString(text) {
		return errors.New("not a valid name")
	}
	return nil
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, " \t\n/") {
		return errors.New("not of the form host:port")
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return errors.New("the port is not a number from 0 to 65535")
	}
	return nil
}

func checkAddresses(text string) error {
	for _, item := range textlist.Split(text) {
		if err := checkAddress(item); err != nil {
			return errors.Wrapf(err, "%q", item)
		}
	}
	return nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return errors.New("not an http or https URL")
	}
	return nil
}

func checkPath(text string) error {
	if text == "" || strings.ContainsAny(text, "\x00\n") {
		return errors.New("not a file name")
	}
	return nil
}
