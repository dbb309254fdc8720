package settings

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against shipped examples that Parse refuses or that differ from the deployments
// in section 1.4 of the design page.
func TestExamplesMatchTheDeployments(t *testing.T) {
	type size struct{ servers, shards int }
	cases := []struct {
		file        string
		domains     []string
		connections int
		services    map[string]size
		keyed       string
	}{
		{"kyushu", []string{"kyu-kita", "kyu-minami", "kyu-naka"}, 130, map[string]size{"bosho": {20, 4}, "chumon": {10, 2}, "shashin": {6, 2}, "yoyaku": {6, 2}}, "bosho"},
		{"midlands", []string{"derby", "leicester", "nottingham"}, 120, map[string]size{"rail": {17, 4}, "bookings": {9, 2}, "atelier": {6, 2}, "deposits": {6, 2}}, "rail"},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile("../../examples/" + c.file + ".ini")
			is.NoErr(err)
			tree, err := Parse(string(text), c.file+".ini")
			is.NoErr(err)
			var domains []string
			for _, d := range tree.Domains() {
				domains = append(domains, d.Name)
			}
			is.Equal(domains, c.domains)
			is.Equal(len(tree.Services()), len(c.services))
			for name, want := range c.services {
				service, ok := tree.Service(name)
				is.True(ok)
				is.Equal(service.Shards, want.shards)
				is.Equal(service.Keyed, name == c.keyed)
				is.Equal(countServers(tree, service), want.servers)
				checkSpread(t, tree, service, len(c.domains))
			}
			for _, s := range tree.Servers() {
				is.Equal(s.Policy.Slots, 3)
				is.Equal(s.Policy.Connections, c.connections)
				is.True(s.Policy.InService)
			}
		})
	}
}

func countServers(tree *Tree, service *Service) int {
	n := 0
	for shard := range service.Shards {
		n += len(tree.ServersOf(service.Name, shard))
	}
	return n
}

// checkSpread requires that each shard has a server in each failure domain. Otherwise the
// loss of a failure domain could leave a shard without a standby.
func checkSpread(t *testing.T, tree *Tree, service *Service, domains int) {
	for shard := range service.Shards {
		in := map[string]bool{}
		for _, s := range tree.ServersOf(service.Name, shard) {
			in[s.Domain] = true
		}
		if len(in) != domains {
			t.Errorf("shard %d of %s is in %d of %d failure domains", shard, service.Name, len(in), domains)
		}
	}
}
