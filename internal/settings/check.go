package settings

import (
	"fmt"
	"strings"
)

// at returns an issue that points at one setting of the section.
func (s *section) at(key, reason, remedy string) Issue {
	line := s.lines[key]
	if line == 0 {
		line = s.line
	}
	return Issue{Line: line, Section: s.name, Key: key, Value: s.values[key], Reason: reason, Remedy: remedy}
}

// checkValues checks each setting by itself.
func (d *document) checkValues() {
	for _, s := range d.order {
		for _, key := range s.keys {
			d.checkValue(s, key)
		}
		d.checkRequired(s)
	}
}

func (d *document) checkValue(s *section, key string) {
	spec := specByName[key]
	if spec == nil {
		d.add(s.at(key, "no such setting", "this section may hold "+strings.Join(namesAt(s.level), ", ")))
		return
	}
	if spec.Levels&s.level == 0 {
		d.add(s.at(key, "the setting does not belong into this section", "set it in "+strings.Join(spec.Levels.Forms(), " or ")))
		return
	}
	if err := spec.check(s.values[key]); err != nil {
		d.add(s.at(key, err.Error(), spec.remedy()))
	}
}

func (d *document) checkRequired(s *section) {
	for i := range specs {
		spec := &specs[i]
		if spec.Required && spec.Levels&s.level != 0 && !s.has(spec.Name) {
			d.add(s.at(spec.Name, "the setting is missing", spec.remedy()))
		}
	}
}

// checkReferences checks that services and failure domains that sections name exist.
func (d *document) checkReferences() {
	for _, s := range d.order {
		switch s.level {
		case LevelServiceDomain, LevelRange:
			d.needService(s, "", s.service)
			d.needDomain(s, "", s.domain)
		case LevelServer:
			d.needService(s, "service", s.values["service"])
			d.needDomain(s, "domain", s.values["domain"])
		}
	}
}

func (d *document) needService(s *section, key, service string) {
	if service == "" || d.sections[serviceSection(service)] != nil {
		return
	}
	d.add(s.at(key, fmt.Sprintf("service %q is not defined", service), fmt.Sprintf("add [service.%s] or correct the name", service)))
}

func (d *document) needDomain(s *section, key, domain string) {
	if domain == "" || d.sections[domainSection(domain)] != nil {
		return
	}
	d.add(s.at(key, fmt.Sprintf("failure domain %q is not defined", domain), fmt.Sprintf("add [domain.%s] with its region or correct the name", domain)))
}
