// Package holder runs the elected leader of the fleet, called the holder because
// it holds the leader lease in the platform's store. The holder grants key ranges
// to backend servers and schedules requests for all instances. The decisions
// themselves are made in packages owners and placing.
package holder
