package usagecap

// Request identifies one attempt of a request within the fleet. It has the fields of
// placing.AttemptID.
type Request struct {
	Instance string
	Number   uint64
}
