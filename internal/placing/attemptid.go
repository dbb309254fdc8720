package placing

// AttemptID identifies one attempt of one request at one instance.
type AttemptID struct {
	Instance string
	Number   uint64
}
