package exchange

// SettingsValue is an accepted settings version. Value is the stored form, compressed as
// package settings/version does it.
type SettingsValue struct {
	Version uint64
	Value   []byte
}
