package ctl

// instanceReport is the status of one instance, or the error of the request for it.
type instanceReport struct {
	Address string
	Status  Status
	Err     error
}
