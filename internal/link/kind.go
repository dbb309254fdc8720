package link

// Kind is a kind of content that a holder sends to its followers.
type Kind int

// Kinds. Heartbeats include what servers ask of the fleet.
const (
	KindDecisions Kind = iota
	KindSettings
	KindListing
	KindOwners
	KindParts
	KindHeartbeats
	KindOther
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"decisions", "settings", "listing", "owners", "listing_parts", "heartbeats", "other"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	out := make([]Kind, kinds)
	for k := range out {
		out[k] = Kind(k)
	}
	return out
}
