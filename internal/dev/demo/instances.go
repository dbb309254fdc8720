package demo

import "peridotmoor.org/peridotmoor/internal/dev/programs"

// newInstances returns one instance for each failure domain, with reserved ports and tracing enabled.
func newInstances(tree *settingsTree, launcher *programs.Launcher) ([]*programs.Instance, error) {
	var all []*programs.Instance
	for _, domain := range tree.domains() {
		all = append(all, &programs.Instance{
			Name:   "entry-" + domain,
			Domain: domain,
			Region: tree.region(domain),
			Traced: true,
		})
	}
	return all, launcher.AssignPorts(all)
}
