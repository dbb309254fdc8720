package placing

// AttemptID identifies one attempt of a request within the fleet.
type AttemptID struct {
	Instance string
	Number   uint64
}
