// Package admission limits the work of one backend server: slots, cold start
// allowance and a bounded queue ordered by deadline.
package admission

// Gate admits requests to one backend server.
type Gate struct{}
