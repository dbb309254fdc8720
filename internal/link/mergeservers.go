package link

import (
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// mergeServers returns the servers with the changed ones in place of those of the same name and
// without those that are gone, ordered by name. servers must be ordered by name and is not
// changed. Of several changed servers of a name the last one counts.
func mergeServers(servers, changed []fleet.Server, gone []string) []fleet.Server {
	slices.SortStableFunc(changed, compareNames)
	out := make([]fleet.Server, 0, len(servers)+len(changed))
	for len(servers) > 0 || len(changed) > 0 {
		switch {
		case len(changed) == 0 || len(servers) > 0 && servers[0].Name < changed[0].Name:
			out, servers = append(out, servers[0]), servers[1:]
		case len(changed) > 1 && changed[0].Name == changed[1].Name:
			changed = changed[1:]
		default:
			if len(servers) > 0 && servers[0].Name == changed[0].Name {
				servers = servers[1:]
			}
			out, changed = append(out, changed[0]), changed[1:]
		}
	}
	if len(gone) == 0 {
		return out
	}
	names := make(map[string]bool, len(gone))
	for _, name := range gone {
		names[name] = true
	}
	return slices.DeleteFunc(out, func(s fleet.Server) bool { return names[s.Name] })
}

func compareNames(a, b fleet.Server) int {
	return strings.Compare(a.Name, b.Name)
}
