package ctl

// report is the answer of one instance, or why there is none.
type report struct {
	Address string
	Status  Status
	Err     error
}
