// Package nodeconfig reads the static configuration of a router process from an INI
// file: its name, failure domain, addresses and platform endpoints. Package settings has
// the settings that operators change at run time.
package nodeconfig

// Config is the static configuration of a process. It is immutable.
type Config struct {
	Instance Instance
	Listen   Listen
	Platform Platform
	Peers    Peers
	Records  Records
	Trace    Trace
}
