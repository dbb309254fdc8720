package holder

import (
	"strconv"
	"strings"
)

// recordEraInfix stands between KeyRecord and the era in the key of the record of an era.
const recordEraInfix = "/era-"

// recordKey returns the key of the record of owners of an era of the store.
func recordKey(era uint64) string {
	if era == 0 {
		return KeyRecord
	}
	return KeyRecord + recordEraInfix + strconv.FormatUint(era, 10)
}

// eraOfRecordKey is the inverse of recordKey. It returns false if the key is that of no record.
func eraOfRecordKey(key string) (uint64, bool) {
	if key == KeyRecord {
		return 0, true
	}
	text, found := strings.CutPrefix(key, KeyRecord+recordEraInfix)
	era, err := strconv.ParseUint(text, 10, 64)
	return era, found && err == nil
}
