package assign

// Reason is the cause of a change in a plan.
type Reason string

// The causes of changes.
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
