package exchange

// SettingsValue is an accepted settings version. Value is the stored form as
// packed by settings/version.Pack.
type SettingsValue struct {
	Version uint64
	Value   []byte
}
