package quarantine

// Verdict says how a request may run.
type Verdict int

// The verdicts.
const (
	// Unrestricted means that the request runs like any other.
	Unrestricted Verdict = iota
	// Exclusive means that the request runs only with all slots of its server.
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
