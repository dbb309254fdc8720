// Package textlist parses lists in the text of settings.
package textlist

import "strings"

// Split returns the non-empty items of a comma-separated list, without surrounding space.
func Split(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
