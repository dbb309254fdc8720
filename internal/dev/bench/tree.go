package bench

import (
	"fmt"
	"strings"

	"peridotmoor.org/peridotmoor/internal/dev/servers"
)

// region is the region of all failure domains.
const region = "bench"

func serviceName(number int) string {
	return fmt.Sprintf("svc%02d", number)
}

func domainName(number int) string {
	return fmt.Sprintf("dom%02d", number)
}

func serverName(number int) string {
	return fmt.Sprintf("srv%04d", number)
}

// keyName returns a key in the byte order of its number.
func keyName(number int) string {
	return fmt.Sprintf("k%08d", number)
}

// settingsTree returns a settings tree of the given sizes in INI. Addresses
// maps server names to addresses; a missing one gets a placeholder. Each
// version differs from the one before.
func settingsTree(o Options, addresses map[string]string, version int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[DEFAULT]\nslots = %d\nconnections = 130\ntimeout = %ds\nchecks_tokens = true\nhedge = false\n", o.Slots, 2+version)
	for domain := range o.Domains {
		fmt.Fprintf(&text, "\n[domain.%s]\nregion = %s\n", domainName(domain), region)
	}
	for service := range o.Services {
		fmt.Fprintf(&text, "\n[service.%s]\nkeyed = %t\nshards = %d\n", serviceName(service), o.Keyed, o.Shards)
		writeRanges(&text, o, service)
	}
	for server := range o.Servers {
		writeServer(&text, o, server, addresses[serverName(server)])
	}
	return text.String()
}

// writeRanges divides the keys of the service into ranges of settings.
func writeRanges(text *strings.Builder, o Options, service int) {
	for domain := range o.Domains {
		for r := range o.Ranges {
			from, to := r*o.Keys/o.Ranges, (r+1)*o.Keys/o.Ranges
			if from == to {
				continue
			}
			fmt.Fprintf(text, "\n[service.%s.%s.r%03d]\nfrom = %s\nto = %s\npriority = %d\n",
				serviceName(service), domainName(domain), r, keyName(from), keyName(to), r%10)
		}
	}
}

// writeServer spreads servers over services, shards and failure domains in turn.
func writeServer(text *strings.Builder, o Options, server int, address string) {
	if address == "" {
		address = fmt.Sprintf("127.0.0.1:%d", 1+server)
	}
	service := server % o.Services
	shard := server / o.Services % o.Shards
	domain := server / (o.Services * o.Shards) % o.Domains
	fmt.Fprintf(text, "\n[server.%s]\nservice = %s\ndomain = %s\naddress = %s\nshard = %d\n",
		serverName(server), serviceName(service), domainName(domain), address, shard)
}

// addressesOf returns the addresses that the stand-ins listen on.
func addressesOf(listed []servers.ServerInfo) map[string]string {
	addresses := make(map[string]string, len(listed))
	for _, server := range listed {
		addresses[server.Name] = server.Address
	}
	return addresses
}
