package ctl

import (
	"context"
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// historyEntry describes one accepted version.
type historyEntry struct {
	Version uint64    `json:"version"`
	Parent  uint64    `json:"parent"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	WriteID string    `json:"write_id"`
	// Changes counts the settings that differ from the parent version. It is -1
	// if the two can't be compared, as when the store no longer has the parent.
	Changes int `json:"changes"`
}

func runHistory(ctx context.Context, t *tool) (output, error) {
	if t.options.Limit < 1 {
		return nil, &usageError{fmt.Sprintf("limit %d is below 1", t.options.Limit)}
	}
	s, err := t.connect()
	if err != nil {
		return nil, err
	}
	if _, err := requireAccepted(ctx, s); err != nil {
		return nil, err
	}
	versions, err := version.History(ctx, s, t.options.Limit+1)
	if err != nil {
		return nil, err
	}
	var list historyList
	for i, v := range versions[:min(len(versions), t.options.Limit)] {
		list = append(list, historyEntry{v.Number, v.Parent, v.Author, v.Time, v.WriteID, countChanges(versions, i)})
	}
	return list, nil
}

// countChanges compares version i with its parent, the next element of the list.
func countChanges(versions []version.Version, i int) int {
	newer, err := versions[i].Tree()
	if err != nil {
		return -1
	}
	if versions[i].Parent == 0 {
		return len(settings.Diff(nil, newer))
	}
	if i+1 >= len(versions) {
		return -1
	}
	older, err := versions[i+1].Tree()
	if err != nil {
		return -1
	}
	return len(settings.Diff(older, newer))
}
