package report

// GapReason says how records were lost.
type GapReason string

// The reasons for missing records.
const (
	// GapNoPlannedStop means that a run of the instance has no end of a planned stop: it
	// was killed, or its records are cut off.
	GapNoPlannedStop GapReason = "no planned stop recorded"
	// GapDropped means that the instance reported dropped lines.
	GapDropped GapReason = "lines dropped"
	// GapNoStart means that the records do not begin with a start of the instance.
	GapNoStart GapReason = "no start recorded"
	// GapNoRecords means that other instances mention an instance of which no
	// record was given.
	GapNoRecords GapReason = "no records given"
)
