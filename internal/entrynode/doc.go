// Package entrynode assembles one instance from its components and runs it from
// its start to its planned stop.
package entrynode
