package demo

import "peridotmoor.org/peridotmoor/internal/dev/programs"

// newInstances plans one traced instance for each failure domain.
func newInstances(t *settingsTree) ([]*programs.Instance, error) {
	var all []*programs.Instance
	for _, domain := range t.domains() {
		all = append(all, &programs.Instance{
			Name:   "entry-" + domain,
			Domain: domain,
			Region: t.region(domain),
			Traced: true,
		})
	}
	return all, programs.AssignPorts(all)
}
