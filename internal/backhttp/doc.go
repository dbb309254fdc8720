// Package backhttp is an HTTP/1.1 client with a pool of connections to each backend
// server. A connection carries one request at a time. It is never reused after it
// received anything unexpected. Which header binds a response to its request is not
// known here: the caller passes a function that matches them.
package backhttp
