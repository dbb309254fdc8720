package router

// Status is the state of an instance, as reported to the operators' tool.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	// SettingsVersion is the version of the settings tree in effect, or 0.
	SettingsVersion uint64 `json:"settings_version"`
	Ready           bool   `json:"ready"`
	Stopping        bool   `json:"stopping"`
	// PendingMoves counts ranges that are still granted to servers out of service.
	PendingMoves int `json:"pending_moves"`
	// Holds lists the shards that the instance holds.
	Holds []ShardStatus `json:"holds"`
}
