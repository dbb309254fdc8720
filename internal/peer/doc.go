// Package peer is the neighbour package for other instances: drpc clients and
// servers, and the conversion between wire messages and plain types.
package peer
