package settings

import (
	"strings"
)

// lineIndex finds the line of a section or setting. The INI library reports
// neither line numbers nor more than the first malformed line.
type lineIndex struct {
	numbers   map[string]int
	malformed []malformedLine
	// wellFormed is the text with the malformed lines blanked out.
	wellFormed string
}

// scanLines indexes the lines of text by section and name; the first line of a name counts.
func scanLines(text string) *lineIndex {
	index := &lineIndex{numbers: map[string]int{}}
	lines := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
	current := ""
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		switch {
		case trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';':
		case trimmed[0] == '[' && strings.Contains(trimmed, "]"):
			current = strings.TrimSpace(trimmed[1:strings.LastIndexByte(trimmed, ']')])
			index.record(current, "", i+1)
		case isSetting(trimmed):
			name, _, _ := strings.Cut(trimmed, "=")
			index.record(current, strings.TrimSpace(name), i+1)
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

func (l *lineIndex) record(section, key string, number int) {
	id := section + "\x00" + key
	if l.numbers[id] == 0 {
		l.numbers[id] = number
	}
}

func (l *lineIndex) section(name string) int { return l.numbers[name+"\x00"] }

func (l *lineIndex) key(section, key string) int { return l.numbers[section+"\x00"+key] }
