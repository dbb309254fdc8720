package settings

import (
	"fmt"
	"strings"
)

// hiddenValue stands for values that are not shown.
const hiddenValue = "(not shown)"

// issueAt returns an issue for one setting of the section. Its line is that of the
// section header if the setting is absent.
func (s *section) issueAt(key, reason, remedy string) Issue {
	line := s.lines[key]
	if line == 0 {
		line = s.line
	}
	return Issue{Line: line, Section: s.name, Key: key, Value: shownValue(key, s.values[key]), Reason: reason, Remedy: remedy}
}

// shownValue returns the value of a setting for an issue. It hides what may be a key that
// the operators forgot to hash.
func shownValue(key, value string) string {
	if spec := specByName[key]; value != "" && spec != nil && spec.Kind == KindKeyDigests {
		return hiddenValue
	}
	return value
}

// shownLine is shownValue for a line that is no setting.
func shownLine(text string) string {
	if name := "key_digests"; strings.Contains(text, name) {
		return name + " " + hiddenValue
	}
	return text
}

// checkValues validates each setting independently of the others.
func (d *document) checkValues() {
	for _, s := range d.inOrder {
		for _, key := range s.keys {
			d.checkValue(s, key)
		}
		d.checkRequiredSettings(s)
	}
}

func (d *document) checkValue(s *section, key string) {
	spec := specByName[key]
	if spec == nil {
		d.addIssue(s.issueAt(key, "no such setting", "this section may hold "+strings.Join(settingNamesAt(s.level), ", ")))
		return
	}
	if spec.Levels&s.level == 0 {
		d.addIssue(s.issueAt(key, "the setting does not belong into this section", "set it in "+strings.Join(spec.Levels.Forms(), " or ")))
		return
	}
	if err := spec.validate(s.values[key]); err != nil {
		d.addIssue(s.issueAt(key, err.Error(), spec.remedy()))
	}
}

func (d *document) checkRequiredSettings(s *section) {
	for i := range specs {
		spec := &specs[i]
		if spec.Required && spec.Levels&s.level != 0 && !s.has(spec.Name) {
			d.addIssue(s.issueAt(spec.Name, "the setting is missing", spec.remedy()))
		}
	}
}

// checkReferences checks that the services and failure domains that sections refer
// to are defined.
func (d *document) checkReferences() {
	for _, s := range d.inOrder {
		switch s.level {
		case LevelServiceDomain, LevelRange:
			d.requireService(s, "", s.service)
			d.requireDomain(s, "", s.domain)
		case LevelServer:
			d.requireService(s, "service", s.values["service"])
			d.requireDomain(s, "domain", s.values["domain"])
		}
	}
}

func (d *document) requireService(s *section, key, service string) {
	if service == "" || d.sections[serviceSection(service)] != nil {
		return
	}
	d.addIssue(s.issueAt(key, fmt.Sprintf("service %q is not defined", service), fmt.Sprintf("add [service.%s] or correct the name", service)))
}

func (d *document) requireDomain(s *section, key, domain string) {
	if domain == "" || d.sections[domainSection(domain)] != nil {
		return
	}
	d.addIssue(s.issueAt(key, fmt.Sprintf("failure domain %q is not defined", domain), fmt.Sprintf("add [domain.%s] with its region or correct the name", domain)))
}
