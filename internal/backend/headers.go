package backend

// HTTP headers between the holder and a backend server, described in docs/interface.md.
const (
	HeaderRequestID   = "Peridotmoor-Request-Id"
	HeaderTeam        = "Peridotmoor-Team"
	HeaderKey         = "Peridotmoor-Key"
	HeaderTimeoutMS   = "Peridotmoor-Timeout-Ms"
	HeaderIdempotent  = "Peridotmoor-Idempotent"
	HeaderShard       = "Peridotmoor-Shard"
	HeaderToken       = "Peridotmoor-Token"
	HeaderNotRun      = "Peridotmoor-Not-Run"
	HeaderIncarnation = "Peridotmoor-Incarnation"
	HeaderOutcome     = "Peridotmoor-Outcome"
	HeaderTraceParent = "Traceparent"
)

// Paths of the control endpoints of a backend server.
const (
	PathGrant  = "/peridotmoor/grant"
	PathHealth = "/peridotmoor/health"
	PathLoad   = "/peridotmoor/load"
	PathDrain  = "/peridotmoor/drain"
)
