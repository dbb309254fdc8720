// Package system tests whole instances in one process against the stand-ins. The
// demo does the same with processes; this runs with the unit tests.
package system
