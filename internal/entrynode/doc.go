// Package entrynode assembles one instance: what it serves, follows and holds,
// from its start to its planned stop.
package entrynode
