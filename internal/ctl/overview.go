package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"peridotmoor.org/peridotmoor/internal/settings"
)

// overview is the output of the show command without a path.
type overview struct {
	Source   string            `json:"source"`
	Domains  []domainOverview  `json:"failure_domains"`
	Services []serviceOverview `json:"services"`
	Servers  []serverOverview  `json:"servers"`
}

func newOverview(tree *settings.Tree, source string) overview {
	o := overview{Source: source}
	for _, d := range tree.Domains() {
		o.Domains = append(o.Domains, domainOverview{d.Name, d.Region, stateText(!d.OutOfService)})
	}
	for _, name := range tree.Services() {
		s, _ := tree.Service(name)
		o.Services = append(o.Services, serviceRow(tree, s))
	}
	for _, s := range tree.Servers() {
		o.Servers = append(o.Servers, serverOverview{s.Name, s.Service, s.Domain, s.Shard, stateText(s.Policy.InService), s.Policy.OutOfServiceBy})
	}
	return o
}

func serviceRow(tree *settings.Tree, s *settings.Service) serviceOverview {
	row := serviceOverview{Name: s.Name, Keyed: s.Keyed, Shards: s.Shards, State: stateText(!s.OutOfService)}
	for shard := range s.Shards {
		for _, server := range tree.ServersOf(s.Name, shard) {
			row.Servers++
			if server.Policy.InService {
				row.ServersInService++
			}
		}
	}
	return row
}

func stateText(in bool) string {
	if in {
		return "in"
	}
	return "out"
}

func (o overview) writeText(w io.Writer) {
	fmt.Fprintln(w, o.Source)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "\nFAILURE DOMAIN\tREGION\tSTATE")
	for _, d := range o.Domains {
		fmt.Fprintf(table, "%s\t%s\t%s\n", d.Name, d.Region, d.State)
	}
	fmt.Fprintln(table, "\nSERVICE\tKEYED\tSHARDS\tSTATE\tSERVERS IN")
	for _, s := range o.Services {
		fmt.Fprintf(table, "%s\t%v\t%d\t%s\t%d of %d\n", s.Name, s.Keyed, s.Shards, s.State, s.ServersInService, s.Servers)
	}
	fmt.Fprintln(table, "\nSERVER\tSERVICE\tFAILURE DOMAIN\tSHARD\tSTATE\tOUT BY")
	for _, s := range o.Servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", s.Name, s.Service, s.Domain, s.Shard, s.State, bracketSection(s.OutOfServiceBy))
	}
	table.Flush()
}

func bracketSection(section string) string {
	if section == "" {
		return "-"
	}
	return "[" + section + "]"
}
