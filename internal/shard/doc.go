// Package shard does the work of the holder of a shard: it grants key ranges to
// backend servers, moves them, replaces lost owners, and publishes the view that
// requests read.
package shard
