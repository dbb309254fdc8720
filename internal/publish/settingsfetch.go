package publish

// settingsFetch is the one transfer of settings that may be under way, and the highest
// version that was announced and by whom.
type settingsFetch struct {
	running bool
	address string
	version uint64
}
