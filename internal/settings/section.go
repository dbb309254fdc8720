package settings

import "strings"

// section is one section of the text, with uninterpreted values.
type section struct {
	name   string
	level  Level
	line   int
	keys   []string // in the order of the text
	values map[string]string
	lines  map[string]int // line number of each key

	// Parts of the section name; those that the level does not have are empty.
	service, domain, rangeName, server, team string
}

const (
	defaultSection   = "DEFAULT"
	instancesSection = "instances"
)

// newSection returns an empty section and reports whether its name has one of the known
// forms.
func newSection(name string) (*section, bool) {
	s := &section{name: name, values: map[string]string{}, lines: map[string]int{}}
	parts := strings.Split(name, ".")
	if len(parts) == 1 {
		s.level = map[string]Level{defaultSection: LevelDefault, instancesSection: LevelInstances}[name]
		return s, s.level != 0
	}
	for _, part := range parts {
		if !namePattern.MatchString(part) {
			return s, false
		}
	}
	s.classify(parts)
	return s, s.level != 0
}

func (s *section) classify(parts []string) {
	switch {
	case parts[0] == "domain" && len(parts) == 2:
		s.level, s.domain = LevelDomain, parts[1]
	case parts[0] == "team" && len(parts) == 2:
		s.level, s.team = LevelTeam, parts[1]
	case parts[0] == "server" && len(parts) == 2:
		s.level, s.server = LevelServer, parts[1]
	case parts[0] == "service" && len(parts) == 2:
		s.level, s.service = LevelService, parts[1]
	case parts[0] == "service" && len(parts) == 3:
		s.level, s.service, s.domain = LevelServiceDomain, parts[1], parts[2]
	case parts[0] == "service" && len(parts) == 4:
		s.level, s.service, s.domain, s.rangeName = LevelRange, parts[1], parts[2], parts[3]
	}
}

// has reports whether the section sets key. A nil section sets nothing.
func (s *section) has(key string) bool {
	if s == nil {
		return false
	}
	_, ok := s.values[key]
	return ok
}

func serviceSection(service string) string { return "service." + service }

func serviceDomainSection(service, domain string) string {
	return "service." + service + "." + domain
}

func domainSection(domain string) string { return "domain." + domain }

func serverSection(server string) string { return "server." + server }
