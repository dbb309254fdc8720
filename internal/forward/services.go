package forward

import (
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Services looks up the number of shards of a service, and who may send requests to it.
type Services interface {
	// ShardCount returns the number of shards of service, which is 0 while the service
	// is out of service, and false if it is not in the settings tree.
	ShardCount(service string) (int, bool)
	// CheckSender returns a problem if the settings in effect do not let the sender of the
	// request in any more, or the server would be told something else of it now.
	CheckSender(r *request.Request) *problem.Problem
}
