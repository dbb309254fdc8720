// Package system tests complete instances in one process against the development
// stand-ins, as part of the unit tests. The demo runs a similar scenario with
// separate processes.
package system
