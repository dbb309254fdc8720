// Package hotkey finds the keys of a shard that are requested most.
package hotkey
