package httplist

import "peridotmoor.org/peridotmoor/internal/instances"

// ListedInstance is one element of the platform's list in JSON.
type ListedInstance struct {
	Name    string          `json:"name"`
	Address string          `json:"address"`
	Domain  string          `json:"domain"`
	State   instances.State `json:"state"`
}
