package backend

// order is the body of a grant or a release.
type order struct {
	From          int     `json:"from"`
	To            int     `json:"to"`
	Fence         int64   `json:"fence"`
	GrantDuration float64 `json:"hold_s"`
}
