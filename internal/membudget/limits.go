package membudget

// Limits bounds what is held. All are in bytes.
type Limits struct {
	// Total bounds everything.
	Total int64
	// Large bounds everything as soon as more is asked for than a usual request needs. The
	// difference to Total stays reserved for usual requests.
	Large int64
	// PerKind bounds each kind, apart from what usual requests need.
	PerKind [kindCount]int64
}

const (
	// machineShare is the part of the machine's memory that connections may hold, as a
	// divisor. An eighth was used up by 480 responses of 50 KB at the smallest machines. The
	// garbage collector may let it double, up to the limit that the process sets for it.
	machineShare = 4
	// maxTotal is enough for thousands of requests in progress; more would only raise the
	// peak of the memory.
	maxTotal = 64 << 20
	// reservedShare is the part of Total, as a divisor, that is reserved for usual requests.
	reservedShare = 4
	// kindShare is the part of Large, as a divisor, that one kind may take, so that none of
	// them keeps all others waiting.
	kindShare = 2
)

// LimitsFor returns the limits for a machine with the given memory in bytes.
func LimitsFor(memory int64) Limits {
	l := Limits{Total: min(memory/machineShare, maxTotal)}
	l.Large = l.Total - l.Total/reservedShare
	for k := range l.PerKind {
		l.PerKind[k] = l.Large / kindShare
	}
	l.PerKind[Requests] = l.Large // a long head is refused without it, which must be the last resort
	return l
}
