package backhttp

// result is what the reader of a connection hands to the waiting request.
type result struct {
	answer *Response
	err    error
}
