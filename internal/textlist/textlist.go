// Package textlist reads lists that settings hold as text. It is pure.
package textlist

import "strings"

// Split returns the items of a comma-separated list without empty ones.
func Split(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
