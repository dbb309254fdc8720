// Package keyowners reads the logs of peridotmoor-entry and tells which holder granted one
// key to which server, and where the grants of two servers overlap. Grants are known by their
// first and last lines; a grant without a last line has no end that is known.
package keyowners
