// Package assign plans which backend server of a shard owns which hash range. It
// does no I/O: time, randomness and measurements are arguments.
package assign
