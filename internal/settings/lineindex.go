package settings

import (
	"strings"
)

// lineIndex maps sections and settings to line numbers and collects all malformed
// lines. The INI library reports no line numbers and stops at the first malformed line.
type lineIndex struct {
	lineNumbers map[string]int
	malformed   []malformedLine
	// wellFormed is the text with its malformed lines replaced by empty ones.
	wellFormed string
}

// indexLines indexes the lines of text by section and key. Of duplicates it keeps the
// first.
func indexLines(text string) *lineIndex {
	index := &lineIndex{lineNumbers: map[string]int{}}
	lines := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
	current := ""
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		switch {
		case trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';':
		case trimmed[0] == '[' && strings.Contains(trimmed, "]"):
			current = strings.TrimSpace(trimmed[1:strings.LastIndexByte(trimmed, ']')])
			index.recordFirst(current, "", i+1)
		case isSetting(trimmed):
			name, _, _ := strings.Cut(trimmed, "=")
			index.recordFirst(current, strings.TrimSpace(name), i+1)
		default:
			index.malformed = append(index.malformed, malformedLine{i + 1, trimmed})
			lines[i] = ""
		}
	}
	index.wellFormed = strings.Join(lines, "\n")
	return index
}

func isSetting(trimmed string) bool {
	return strings.IndexByte(trimmed, '=') > 0 && trimmed[0] != '['
}

func (l *lineIndex) recordFirst(section, key string, number int) {
	id := section + "\x00" + key
	if l.lineNumbers[id] == 0 {
		l.lineNumbers[id] = number
	}
}

func (l *lineIndex) sectionLine(name string) int { return l.lineNumbers[name+"\x00"] }

func (l *lineIndex) keyLine(section, key string) int { return l.lineNumbers[section+"\x00"+key] }
