// Package hop tells the headers of one connection from those that go from end to
// end (RFC 9110, section 7.6.1).
package hop
