package settings

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// BuiltInLevel is the level name of values that no section sets.
const BuiltInLevel = "built-in"

// EffectiveValue is one value that is in effect at a place of the tree.
type EffectiveValue struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Unit  string `json:"unit,omitempty"`
	Scope Scope  `json:"scope"`
	// Level is the section that the value comes from, or BuiltIn.
	Level string `json:"level"`
}

// Effective returns the values in effect at path, in the order of Specs. path is
// a section name: DEFAULT, service.NAME, service.NAME.DOMAIN,
// service.NAME.DOMAIN.RANGE, domain.NAME, server.NAME or instances. Sections that only
// inherit need not be written, except a range.
func (t *Tree) Effective(path string) ([]EffectiveValue, error) {
	place, known := newSection(path)
	if !known {
		return nil, errors.Errorf("path %q is not a place of the tree; use DEFAULT, service.NAME, service.NAME.DOMAIN, service.NAME.DOMAIN.RANGE, domain.NAME, server.NAME or instances", path)
	}
	if err := t.checkPlace(place); err != nil {
		return nil, err
	}
	var values []EffectiveValue
	for i := range specs {
		if value, ok := t.effectiveValue(place, &specs[i]); ok {
			values = append(values, value)
		}
	}
	return values, nil
}

// checkPlace refuses places whose service, failure domain, range or server does not exist.
func (t *Tree) checkPlace(place *section) error {
	if place.service != "" && t.services[place.service] == nil {
		return errors.Errorf("service %q does not exist; services: %s", place.service, strings.Join(t.names, ", "))
	}
	if _, ok := t.domains[place.domain]; place.domain != "" && !ok {
		return errors.Errorf("failure domain %q does not exist; failure domains: %s", place.domain, strings.Join(sortedKeys(t.domains), ", "))
	}
	if _, ok := t.servers[place.server]; place.server != "" && !ok {
		return errors.Errorf("server %q does not exist; servers: %s", place.server, strings.Join(sortedKeys(t.servers), ", "))
	}
	if place.rangeName != "" && t.doc.sections[place.name] == nil {
		return errors.Errorf("key range %q does not exist; write a section [%s] or use the service and failure domain alone", place.rangeName, place.name)
	}
	return nil
}

// scopesAt says which inherited scopes are shown at a level; others show only their own settings.
var scopesAt = map[Level][]Scope{
	LevelDefault:       {ScopeRequest, ScopeServer, ScopeControl},
	LevelService:       {ScopeRequest, ScopeServer, ScopeService},
	LevelServiceDomain: {ScopeRequest, ScopeServer},
	LevelRange:         {ScopeRequest},
	LevelDomain:        {},
	LevelServer:        {ScopeServer},
}

func (t *Tree) effectiveValue(place *section, spec *Spec) (EffectiveValue, bool) {
	value := EffectiveValue{Name: spec.Name, Unit: spec.Unit, Scope: spec.Scope}
	if spec.Name == "state" {
		return t.effectiveState(place, value)
	}
	if spec.Scope == ScopeIdentity {
		return t.effectiveIdentity(place, spec, value)
	}
	if !slices.Contains(scopesAt[place.level], spec.Scope) {
		return value, false
	}
	if s := t.services[place.service]; spec.Name == "hedge" && s != nil && s.Keyed {
		value.Value, value.Level = "false", serviceSection(place.service) // by keyed = true
		return value, true
	}
	found := t.chainOf(place).lookup(spec.Name)
	value.Value, value.Level = found.text, levelName(found.section)
	return value, true
}

// chainOf returns the inheritance at a place.
func (t *Tree) chainOf(place *section) chain {
	if place.level == LevelServer {
		server := t.servers[place.server]
		return t.doc.serverChain(server.Name, server.Service, server.Domain)
	}
	if place.service == "" {
		return t.doc.rootChain()
	}
	return t.doc.requestChain(place.service, place.domain, place.rangeName)
}

// effectiveState names the section that takes the place out, if any.
func (t *Tree) effectiveState(place *section, value EffectiveValue) (EffectiveValue, bool) {
	service, domain := place.service, place.domain
	if place.level == LevelServer {
		service, domain = t.servers[place.server].Service, t.servers[place.server].Domain
	}
	if service == "" && domain == "" || place.level == LevelRange {
		return value, false
	}
	value.Value, value.Level = stateIn, BuiltInLevel
	if own := t.doc.sections[place.name]; own.has("state") {
		value.Level = place.name
	}
	if outBy := t.doc.outBy(place.server, service, domain); outBy != "" {
		value.Value, value.Level = stateOut, outBy
	}
	return value, true
}

func (t *Tree) effectiveIdentity(place *section, spec *Spec, value EffectiveValue) (EffectiveValue, bool) {
	own := t.doc.sections[place.name]
	if spec.Levels&place.level == 0 {
		return value, false
	}
	if own.has(spec.Name) {
		value.Value, value.Level = own.values[spec.Name], place.name
		return value, true
	}
	value.Level = BuiltInLevel
	if spec.Name == "shard" {
		value.Value = t.serverShardText(place.server)
	}
	return value, true
}

func levelName(section string) string {
	if section == "" {
		return BuiltInLevel
	}
	return section
}
