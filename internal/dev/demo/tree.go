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

// tree is the operators' settings tree that the demo applies.
type tree struct {
	file *ini.File
}

// Without it the library writes [DEFAULT] without its header. It is set before
// any run, because the library reads it without synchronization.
func init() {
	ini.DefaultHeader = true
}

func loadTree(path string) (*tree, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrap(err, "name a readable settings tree with --settings")
	}
	return &tree{file: file}, nil
}

// fill sets the addresses of the servers to those of the stand-ins.
func (t *tree) fill(listed []servers.ServerInfo) {
	for _, server := range listed {
		t.file.Section("server." + server.Name).Key("address").SetValue(server.Address)
	}
}

// domains returns the failure domains of the servers in order.
func (t *tree) domains() []string {
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

// region returns the region of a failure domain.
func (t *tree) region(domain string) string {
	return t.file.Section("domain." + domain).Key("region").MustString("local")
}

// setState takes a failure domain out or in.
func (t *tree) setState(domain, state string) {
	t.file.Section("domain." + domain).Key("state").SetValue(state)
}

// write stores the tree at path.
func (t *tree) write(path string) error {
	var text bytes.Buffer
	if _, err := t.file.WriteTo(&text); err != nil {
		return errors.Wrap(err, "settings tree")
	}
	return errors.Wrap(os.WriteFile(path, text.Bytes(), 0o644), "settings tree")
}
