// Package shard does the work of the holder of a shard: it grants key ranges to backend
// servers, moves them between servers, replaces lost owners, and publishes the routing
// view that requests read.
package shard
