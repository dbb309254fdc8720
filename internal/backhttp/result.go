package backhttp

// result is what the reader of a connection hands to the waiting request.
type result struct {
	response *Response
	err      error
}
