package quarantine

// Verdict determines how a request may run.
type Verdict int

// The verdicts, in order of increasing restriction.
const (
	// Unrestricted means that the request runs normally.
	Unrestricted Verdict = iota
	// Exclusive means that the request runs only while it has all slots of its server.
	Exclusive
	// Refused means that the request is not run.
	Refused
)

func verdictOf(crashes int) Verdict {
	switch {
	case crashes <= 0:
		return Unrestricted
	case crashes == 1:
		return Exclusive
	default:
		return Refused
	}
}
