package servers

import "peridotmoor.org/peridotmoor/internal/key"

// KeyOwner is the response to GET /dev/owner.
type KeyOwner struct {
	// Server owns the key, and Holder is the instance that granted it.
	Server string `json:"server"`
	Holder string `json:"holder"`
}

// holder returns the instance that granted the range of h to the server, or "".
func (s *Server) holder(h key.Hash) string {
	for _, granted := range *s.grants.Load() {
		if granted.owns(h, s.clock.now()) {
			return granted.holder
		}
	}
	return ""
}
