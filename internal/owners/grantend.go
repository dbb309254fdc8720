package owners

// GrantEnd is why a holder renews a grant no longer.
type GrantEnd uint8

// The reasons.
const (
	// GrantGoesOn grants are renewed.
	GrantGoesOn GrantEnd = iota
	// GrantReleased means that the server has released the keys.
	GrantReleased
	// GrantExpired means that the holder has waited until the grant had expired.
	GrantExpired
	// GrantServerRestarted means that another incarnation of the server is listed.
	GrantServerRestarted
	// GrantServerEnded means that another server has answered at its address.
	GrantServerEnded
	// GrantTenureEnded means that the holder's tenure has ended; the grant remains valid.
	GrantTenureEnded
)

// String returns the name of the reason in logs.
func (e GrantEnd) String() string {
	names := [...]string{"", "released", "expired", "restarted", "gone", "tenure-ended"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}
