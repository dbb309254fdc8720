package version

import "fmt"

// CurrentKey is the store key of the accepted version.
const CurrentKey = "settings/current"

// HistoryKey returns the store key of a past version.
func HistoryKey(number uint64) string {
	return fmt.Sprintf("settings/history/%d", number)
}
