package demo

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

// instance is one entry instance with its router.
type instance struct {
	name      string
	domain    string
	region    string
	callers   string
	peers     string
	operators string
	child     *Child
}

// newInstances plans one instance for each failure domain.
func newInstances(t *tree) ([]*instance, error) {
	domains := t.domains()
	free, err := ports.Free(3 * len(domains))
	if err != nil {
		return nil, err
	}
	var all []*instance
	for i, domain := range domains {
		all = append(all, &instance{
			name:      "entry-" + domain,
			domain:    domain,
			region:    t.region(domain),
			callers:   free[3*i],
			peers:     free[3*i+1],
			operators: free[3*i+2],
		})
	}
	return all, nil
}

// records returns where the router writes what became of each request.
func (i *instance) records(dir string) string {
	return filepath.Join(dir, i.name+".records")
}

// writeConfig writes the static settings of the router and returns their path.
func (i *instance) writeConfig(dir, platform string, all []*instance) (string, error) {
	file := ini.Empty()
	set := func(section, name, value string) { file.Section(section).Key(name).SetValue(value) }
	set("instance", "name", i.name)
	set("instance", "domain", i.domain)
	set("instance", "region", i.region)
	set("listen", "callers", i.callers)
	set("listen", "peers", i.peers)
	set("listen", "operators", i.operators)
	set("platform", "store", platform)
	set("platform", "instances", platform)
	set("peers", "addresses", strings.Join(peerAddresses(all), ","))
	set("records", "path", i.records(dir))
	set("trace", "path", filepath.Join(dir, i.name+".trace"))
	path := filepath.Join(dir, i.name+".ini")
	target, err := os.Create(path)
	if err != nil {
		return "", errors.Wrap(err, "router configuration")
	}
	if _, err := file.WriteTo(target); err != nil {
		_ = target.Close()
		return "", errors.Wrap(err, "router configuration")
	}
	return path, errors.Wrap(target.Close(), "router configuration")
}

func peerAddresses(all []*instance) []string {
	var addresses []string
	for _, one := range all {
		addresses = append(addresses, one.peers)
	}
	return addresses
}
