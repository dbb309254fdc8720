// Package gateway processes one request of a caller from its arrival to the final
// reply: it selects the route, obtains servers from the scheduler, makes the
// attempts and determines the outcome. It does not depend on how requests and
// responses are encoded.
package gateway
