package settings

import (
	"fmt"
	"strings"
)

// Issue is one problem found in a settings tree.
type Issue struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // 0 if the problem has no single line
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	Reason  string `json:"reason"`
	Remedy  string `json:"remedy"`
}

// String formats the issue in one line.
func (i Issue) String() string {
	var b strings.Builder
	b.WriteString(i.File)
	if i.Line > 0 {
		fmt.Fprintf(&b, ":%d", i.Line)
	}
	b.WriteString(": ")
	if i.Section != "" {
		fmt.Fprintf(&b, "[%s] ", i.Section)
	}
	if i.Key != "" {
		fmt.Fprintf(&b, "%s = %q: ", i.Key, i.Value)
	}
	fmt.Fprintf(&b, "%s; %s", i.Reason, i.Remedy)
	return b.String()
}
