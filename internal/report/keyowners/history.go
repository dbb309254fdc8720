package keyowners

// History is what the logs tell of one key.
type History struct {
	Service string `json:"service"`
	Key     int    `json:"key"`
	// Grants are in the order in which they were sent, Events in that of their lines.
	Grants   []Grant   `json:"grants"`
	Events   []Event   `json:"events"`
	Overlaps []Overlap `json:"overlaps"`
	// DroppedLines counts the lines that instances could not write, and UnreadableLines those
	// that are not valid log lines. Grants may be missing if there are any.
	DroppedLines    int64 `json:"dropped_lines"`
	UnreadableLines int   `json:"unreadable_lines"`
}
