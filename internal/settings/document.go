package settings

import (
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxTextBytes is the maximum size of the text of a tree. A value in the store is
// limited to 1 MB; the JSON encoding of the text, which escapes its line breaks, must
// fit with a margin.
const MaxTextBytes = 900 << 10

// document is the INI text split into sections, with uninterpreted values.
type document struct {
	file     string
	sections map[string]*section
	inOrder  []*section
	issues   Issues
}

// iniOptions disables the features of the INI library that alter values:
// continuation lines, interpolation and lookups in parent sections.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00",
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

// readDocument splits text into sections and collects the syntax errors.
func readDocument(text, file string) *document {
	doc := &document{file: file, sections: map[string]*section{}}
	if len(text) > MaxTextBytes {
		doc.addIssue(Issue{Reason: "the text has " + strconv.Itoa(len(text)) + " bytes", Remedy: "shorten it to at most " + strconv.Itoa(MaxTextBytes) + " bytes"})
		return doc
	}
	lines := indexLines(text)
	for _, bad := range lines.malformed {
		doc.addIssue(Issue{Line: bad.number, Reason: "the line " + strconv.Quote(shownLine(bad.text)) + " is neither a section, a setting nor a comment", Remedy: "write [section], name = value, or start the line with #"})
	}
	loaded, err := ini.LoadSources(iniOptions, []byte(lines.wellFormed))
	if err != nil {
		doc.addIssue(Issue{Reason: "not readable as INI: " + err.Error(), Remedy: "correct the line that the message names"})
		return doc
	}
	for i, s := range loaded.Sections() {
		doc.addSection(s, i == 0, lines)
	}
	return doc
}

func (d *document) addIssue(issue Issue) {
	issue.File = d.file
	d.issues = append(d.issues, issue)
}

// addSection adds one section of the INI library. The library always returns as its
// first section the settings that precede the first header.
func (d *document) addSection(raw *ini.Section, beforeFirstHeader bool, lines *lineIndex) {
	if beforeFirstHeader {
		d.addIssuesBeforeFirstHeader(raw, lines)
		return
	}
	name := raw.Name()
	s, known := newSection(name)
	s.line = lines.sectionLine(name)
	if !known {
		d.addIssue(Issue{Line: s.line, Section: name, Reason: "no such kind of section", Remedy: "use one of " + allSectionForms() + " with names of lower-case letters, digits and hyphens"})
		return
	}
	if first, duplicate := d.sections[name]; duplicate {
		d.addIssue(Issue{Line: first.line, Section: name, Reason: "the section is written more than once", Remedy: "write all its settings under one header"})
		return
	}
	d.sections[name] = s
	d.inOrder = append(d.inOrder, s)
	for _, key := range raw.Keys() {
		d.addKey(s, key, lines)
	}
}

func (d *document) addKey(s *section, raw *ini.Key, lines *lineIndex) {
	name := raw.Name()
	s.keys = append(s.keys, name)
	s.values[name] = raw.Value()
	s.lines[name] = lines.keyLine(s.name, name)
	if values := raw.ValueWithShadows(); len(values) > 1 {
		d.addIssue(Issue{Line: s.lines[name], Section: s.name, Key: name, Value: shownValue(name, strings.Join(values, ", ")), Reason: "the setting is written more than once", Remedy: "keep one of the values"})
	}
}

func (d *document) addIssuesBeforeFirstHeader(raw *ini.Section, lines *lineIndex) {
	for _, key := range raw.Keys() {
		d.addIssue(Issue{Line: lines.keyLine("", key.Name()), Key: key.Name(), Value: shownValue(key.Name(), key.Value()), Reason: "the setting stands before the first section", Remedy: "put it under [DEFAULT] or the section it belongs to"})
	}
}

func allSectionForms() string {
	all := LevelDefault | LevelService | LevelServiceDomain | LevelRange | LevelDomain | LevelServer | LevelInstances | LevelTeam
	return strings.Join(all.Forms(), ", ")
}
