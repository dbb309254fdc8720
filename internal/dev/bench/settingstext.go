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

// keyName returns the key with the given number. The byte order of keys is that of their
// numbers.
func keyName(number int) string {
	return fmt.Sprintf("k%08d", number)
}

// settingsText returns a settings tree of the configured size in INI format. addresses
// maps server names to addresses; a server without an entry gets a placeholder. The text
// of each version differs.
func settingsText(o Options, addresses map[string]string, version int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[DEFAULT]\nslots = %d\nconnections = 130\ntimeout = %ds\nchecks_tokens = true\nhedge = false\n", o.SlotsPerServer, 2+version)
	for domain := range o.Domains {
		fmt.Fprintf(&text, "\n[domain.%s]\nregion = %s\n", domainName(domain), region)
	}
	for service := range o.Services {
		fmt.Fprintf(&text, "\n[service.%s]\nkeyed = %t\nshards = %d\n", serviceName(service), o.Keyed, o.ShardsPerService)
		writeRanges(&text, o, service)
	}
	for server := range o.Servers {
		writeServer(&text, o, server, addresses[serverName(server)])
	}
	return text.String()
}

// writeRanges divides the keys of the service into ranges with settings of their own.
func writeRanges(text *strings.Builder, o Options, service int) {
	for domain := range o.Domains {
		for index := range o.Ranges {
			from, to := index*o.KeysPerService/o.Ranges, (index+1)*o.KeysPerService/o.Ranges
			if from == to {
				continue
			}
			fmt.Fprintf(text, "\n[service.%s.%s.r%03d]\nfrom = %s\nto = %s\npriority = %d\n",
				serviceName(service), domainName(domain), index, keyName(from), keyName(to), index%10)
		}
	}
}

// writeServer assigns the server to a service, shard and failure domain round-robin.
func writeServer(text *strings.Builder, o Options, server int, address string) {
	if address == "" {
		address = fmt.Sprintf("127.0.0.1:%d", 1+server)
	}
	service := server % o.Services
	shard := server / o.Services % o.ShardsPerService
	domain := server / (o.Services * o.ShardsPerService) % o.Domains
	fmt.Fprintf(text, "\n[server.%s]\nservice = %s\ndomain = %s\naddress = %s\nshard = %d\n",
		serverName(server), serviceName(service), domainName(domain), address, shard)
}

// addressesByName maps the names of the servers to their addresses.
func addressesByName(listed []servers.ServerInfo) map[string]string {
	addresses := make(map[string]string, len(listed))
	for _, server := range listed {
		addresses[server.Name] = server.Address
	}
	return addresses
}
