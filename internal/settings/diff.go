package settings

import "fmt"

// Change is one setting that differs between two trees.
type Change struct {
	Section string `json:"section"`
	// Key is empty for an added or removed section that holds no settings.
	Key  string `json:"key,omitempty"`
	Kind string `json:"kind"` // added, removed or changed
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Values of Change.Kind.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// String formats the change in one line.
func (c Change) String() string {
	location := "[" + c.Section + "]"
	if c.Key != "" {
		location += " " + c.Key
	}
	switch {
	case c.Key == "":
		return fmt.Sprintf("%s %s", location, c.Kind)
	case c.Kind == Added:
		return fmt.Sprintf("%s added: %s", location, c.To)
	case c.Kind == Removed:
		return fmt.Sprintf("%s removed: %s", location, c.From)
	}
	return fmt.Sprintf("%s changed: %s -> %s", location, c.From, c.To)
}

// Diff returns the settings that differ between the texts of a and b, sorted by
// section and key. Inherited and default values are not compared; order, comments and
// white space are ignored. A nil tree counts as empty.
func Diff(a, b *Tree) []Change {
	before, after := a.sectionMap(), b.sectionMap()
	all := map[string]bool{}
	for name := range before {
		all[name] = true
	}
	for name := range after {
		all[name] = true
	}
	var changes []Change
	for _, name := range sortedKeys(all) {
		changes = append(changes, diffSection(name, before[name], after[name])...)
	}
	return changes
}

func (t *Tree) sectionMap() map[string]*section {
	if t == nil {
		return nil
	}
	return t.doc.sections
}

func diffSection(name string, before, after *section) []Change {
	var changes []Change
	keys := map[string]bool{}
	if before != nil {
		addKeys(keys, before.keys)
	}
	if after != nil {
		addKeys(keys, after.keys)
	}
	if len(keys) == 0 && (before == nil) != (after == nil) {
		return []Change{{Section: name, Kind: changeKind(before != nil, after != nil)}}
	}
	for _, key := range sortedKeys(keys) {
		if change, differs := diffKey(name, key, before, after); differs {
			changes = append(changes, change)
		}
	}
	return changes
}

func addKeys(set map[string]bool, keys []string) {
	for _, key := range keys {
		set[key] = true
	}
}

// diffKey compares one key and reports whether it differs.
func diffKey(name, key string, before, after *section) (Change, bool) {
	inBefore, inAfter := before.has(key), after.has(key)
	change := Change{Section: name, Key: key, Kind: changeKind(inBefore, inAfter)}
	if inBefore {
		change.From = before.values[key]
	}
	if inAfter {
		change.To = after.values[key]
	}
	return change, inBefore != inAfter || change.From != change.To
}

func changeKind(inBefore, inAfter bool) string {
	switch {
	case !inBefore:
		return Added
	case !inAfter:
		return Removed
	}
	return Changed
}
