package assign

// Reason says why a plan changes something.
type Reason string

// The reasons of changes.
const (
	ReasonFirstPlan         Reason = "first-plan"
	ReasonServerLost        Reason = "server-lost"
	ReasonServerOut         Reason = "server-out"
	ReasonServerLeaving     Reason = "server-leaving"
	ReasonServerRemoved     Reason = "server-removed"
	ReasonOverload          Reason = "overload"
	ReasonFillServer        Reason = "fill-server"
	ReasonServerSlow        Reason = "server-slow"
	ReasonHotKey            Reason = "hot-key"
	ReasonKeyCooled         Reason = "key-cooled"
	ReasonTooManyRanges     Reason = "too-many-ranges"
	ReasonHeavyRange        Reason = "heavy-range"
	ReasonStandbyUnsuitable Reason = "standby-unsuitable"
)
