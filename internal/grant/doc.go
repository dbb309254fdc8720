// Package grant computes when grants to backend servers end, by the rules of
// section 3.3 of the design page. It is pure: times are arguments.
package grant
