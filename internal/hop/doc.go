// Package hop distinguishes hop-by-hop from end-to-end headers (RFC 9110, section 7.6.1).
package hop
