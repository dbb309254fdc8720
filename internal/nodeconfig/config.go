// Package nodeconfig reads the static settings of one router process from an
// INI file: its name, failure domain, addresses and platform endpoints. What
// operators change while the system runs is in package settings.
package nodeconfig

// Config is the static settings of one process. It is immutable.
type Config struct {
	Instance Instance
	Listen   Listen
	Platform Platform
	Peers    Peers
	Records  Records
	Trace    Trace
}
