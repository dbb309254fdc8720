// Package holder runs the one instance that decides for the fleet: it is
// elected through the platform's store, grants keys to backend servers and
// places requests. The decisions are in packages owners and placing.
package holder
