package placing

// Ticket identifies one attempt of one request at one instance.
type Ticket struct {
	Instance string
	Number   uint64
}
