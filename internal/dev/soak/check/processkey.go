package check

// processKey identifies one process of an instance.
type processKey struct {
	instance string
	number   int
}
