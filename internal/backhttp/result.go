package backhttp

// result is what the reader goroutine passes to the waiting request.
type result struct {
	response *Response
	err      error
}
