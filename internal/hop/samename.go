package hop

import "strings"

// SameName reports whether a server may take the header name for the other one. Some servers
// do not distinguish hyphens and underscores.
func SameName(name, other string) bool {
	return len(name) == len(other) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), other)
}
