// Package assign plans which backend server of a shard owns which hash range.
// It is pure: time, randomness and measurements are arguments.
package assign
