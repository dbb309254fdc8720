package nodeconfig

import (
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

// Load reads and validates the file at path.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the instance file; give its path with --config")
	}
	return Parse(text, path)
}

// Parse parses and validates text. Its error is of type Issues and lists all problems.
// fileName is used only in messages.
func Parse(text []byte, fileName string) (*Config, error) {
	loaded, err := ini.LoadSources(iniOptions, text)
	if err != nil {
		return nil, Issues{{File: fileName, Reason: "not readable as INI: " + err.Error(), Remedy: "correct the line that the message names"}}
	}
	p := &parser{file: fileName, values: map[string]string{}}
	for _, s := range loaded.Sections() {
		p.readSection(s)
	}
	config := p.build()
	if len(p.issues) > 0 {
		return nil, p.issues
	}
	return config, nil
}

type parser struct {
	file   string
	values map[string]string // by section.key
	issues Issues
}

func (p *parser) add(section, key, value, reason, remedy string) {
	p.issues = append(p.issues, Issue{p.file, section, key, value, reason, remedy})
}

func (p *parser) readSection(s *ini.Section) {
	for _, k := range s.Keys() {
		id := s.Name() + "." + k.Name()
		if _, twice := p.values[id]; twice || len(k.ValueWithShadows()) > 1 {
			p.add(s.Name(), k.Name(), k.Value(), "the setting is written more than once", "keep one of the values")
		}
		p.values[id] = k.Value()
		if !slices.ContainsFunc(fields, func(f field) bool { return f.section+"."+f.key == id }) {
			p.add(s.Name(), k.Name(), k.Value(), "no such setting", "use one of "+knownFields())
		}
	}
}

func (p *parser) build() *Config {
	c := &Config{}
	for _, f := range fields {
		text, present := p.values[f.section+"."+f.key]
		if !present {
			if f.required {
				p.add(f.section, f.key, "", "the setting is missing", f.remedy)
			}
			continue
		}
		if err := f.check(text); err != nil {
			p.add(f.section, f.key, text, err.Error(), f.remedy)
			continue
		}
		f.set(c, text)
	}
	return c
}

func knownFields() string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = "[" + f.section + "] " + f.key
	}
	return strings.Join(names, ", ")
}
