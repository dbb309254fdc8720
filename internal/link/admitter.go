package link

// admitter is a connection that counts as one of an unknown client until it is admitted.
type admitter interface {
	Admit()
}
