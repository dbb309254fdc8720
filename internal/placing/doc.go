// Package placing decides which backend server runs a request, which requests
// wait, and which are refused. One instance of the fleet, the holder, asks it on
// behalf of all, so that slots, cold starts and retries are bounded exactly. It
// is pure: time comes as an argument, and there is no I/O.
package placing
