package assign

// Reason says why a plan changes something.
type Reason string

// The reasons of changes.
const (
	ReasonFirst      Reason = "first-plan"
	ReasonLost       Reason = "server-lost"
	ReasonOut        Reason = "server-out"
	ReasonLeaving    Reason = "server-leaving"
	ReasonRemoved    Reason = "server-removed"
	ReasonOverload   Reason = "overload"
	ReasonFill       Reason = "fill-server"
	ReasonSlow       Reason = "server-slow"
	ReasonHotKey     Reason = "hot-key"
	ReasonCooled     Reason = "key-cooled"
	ReasonCompact    Reason = "too-many-ranges"
	ReasonHeavyRange Reason = "heavy-range"
	ReasonStandby    Reason = "standby-unsuitable"
)
