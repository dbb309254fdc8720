package demo

import "peridotmoor.org/peridotmoor/internal/dev/programs"

// newInstances returns one instance for each failure domain, with free ports and tracing enabled.
func newInstances(tree *settingsTree) ([]*programs.Instance, error) {
	var all []*programs.Instance
	for _, domain := range tree.domains() {
		all = append(all, &programs.Instance{
			Name:   "entry-" + domain,
			Domain: domain,
			Region: tree.region(domain),
			Traced: true,
		})
	}
	return all, programs.AssignPorts(all)
}
