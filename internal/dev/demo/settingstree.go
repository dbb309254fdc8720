package demo

import (
	"bytes"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// settingsTree is the operators' settings tree, which the demo edits and applies.
type settingsTree struct {
	file *ini.File
}

// DefaultHeader makes the library write the header of the [DEFAULT] section. It is
// set before any run, because the library reads it without synchronization.
func init() {
	ini.DefaultHeader = true
}

func loadTree(path string) (*settingsTree, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrap(err, "name a readable settings tree with --settings")
	}
	return &settingsTree{file: file}, nil
}

// setAddresses sets the addresses of the servers to those of the stand-ins.
func (t *settingsTree) setAddresses(listed []servers.ServerInfo) {
	for _, server := range listed {
		t.file.Section("server." + server.Name).Key("address").SetValue(server.Address)
	}
}

// domains returns the failure domains of the servers in alphabetical order.
func (t *settingsTree) domains() []string {
	seen := map[string]bool{}
	for _, section := range t.file.Sections() {
		if strings.HasPrefix(section.Name(), "server.") {
			seen[section.Key("domain").String()] = true
		}
	}
	domains := make([]string, 0, len(seen))
	for domain := range seen {
		domains = append(domains, domain)
	}
	sort.Strings(domains)
	return domains
}

func (t *settingsTree) region(domain string) string {
	return t.file.Section("domain." + domain).Key("region").MustString("local")
}

// setState takes a failure domain out of service or back in.
func (t *settingsTree) setState(domain, state string) {
	t.file.Section("domain." + domain).Key("state").SetValue(state)
}

func (t *settingsTree) write(path string) error {
	var text bytes.Buffer
	if _, err := t.file.WriteTo(&text); err != nil {
		return errors.Wrap(err, "settings tree")
	}
	return errors.Wrap(os.WriteFile(path, text.Bytes(), 0o644), "settings tree")
}
