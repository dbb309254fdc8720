package gateway

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Sharing says how a call may share the connection of its caller with others.
type Sharing struct {
	// Concurrent is set if the call may be processed at the same time as earlier ones.
	Concurrent bool
	// MayStream is set if its response may be so long that it is streamed.
	MayStream bool
}

// Sharing returns how the call may share the connection of its caller. It may be processed beside
// earlier calls if it is idempotent and its sender is authorized.
func (g *Gateway) Sharing(call *Call) Sharing {
	config := g.registry.Snapshot().Config
	if config == nil {
		return Sharing{}
	}
	route := config.Match(call.Host, call.Path)
	if route == nil || authorize(config, call, route).denial != denialNone {
		return Sharing{}
	}
	return Sharing{Concurrent: route.Kind.Idempotent(), MayStream: route.Kind == fleet.KindDownload || g.streamed.isRecent(route.Name, time.Now())}
}
