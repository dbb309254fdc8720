package ctl

// instanceReport is the answer of one instance, or why there is none.
type instanceReport struct {
	Address string
	Status  Status
	Err     error
}
