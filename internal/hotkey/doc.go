// Package hotkey finds the most frequently requested keys of a shard.
package hotkey
