package report

// GapReason says why records are missing.
type GapReason string

// The reasons for missing records.
const (
	// GapNoPlannedStop means that a run of the instance has no record of a planned stop:
	// it was killed, or its records are cut off.
	GapNoPlannedStop GapReason = "no planned stop recorded"
	// GapDropped means that the instance reported dropped lines.
	GapDropped GapReason = "lines dropped"
	// GapNoStart means that the records do not begin with a start of the instance.
	GapNoStart GapReason = "no start recorded"
	// GapNoRecords means that other instances mention the instance, but the input has no
	// record of it.
	GapNoRecords GapReason = "no records given"
)
