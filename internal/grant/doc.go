// Package grant computes when the grants of backend servers expire, by the rules
// of section 3.3 of the design page. It does no I/O and reads no clock: times
// are arguments.
package grant
