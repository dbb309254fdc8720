package membudget

// usage is what is held when more is asked for: by all, for the kind, and by the connection
// that asks.
type usage struct {
	total, kind, connection int64
}
