package backend

// sharedKey is a key that two incarnations hold, by their IDs in order.
type sharedKey struct {
	key           int
	first, second string
}
