// Package bounds works out from the figures of a deployment what no router can exceed: the
// load of its servers, the rate of one key, and the bytes that must cross failure domains.
// docs/measurements.md compares them with what was measured.
package bounds
