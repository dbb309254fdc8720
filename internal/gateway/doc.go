// Package gateway takes one request of a caller from its arrival to its final
// answer: route, server, attempts, outcome. It knows no encoding.
package gateway
