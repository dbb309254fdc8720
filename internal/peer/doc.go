// Package peer implements the DRPC protocol between instances: client, server and
// the conversion between protobuf messages and the types of the other packages.
package peer
