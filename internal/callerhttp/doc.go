// Package callerhttp is the HTTP/1.1 server for callers. Unlike the server of net/http
// it runs pipelined requests concurrently, responds in order, and detects at once when
// a caller disconnects. Requests are parsed by net/http.
package callerhttp
