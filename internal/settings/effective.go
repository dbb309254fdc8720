package settings

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// BuiltInLevel is the EffectiveValue.Level of built-in defaults.
const BuiltInLevel = "built-in"

// EffectiveValue is the value that a setting has after inheritance.
type EffectiveValue struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Unit  string `json:"unit,omitempty"`
	Scope Scope  `json:"scope"`
	// Level is the name of the section that sets the value, or BuiltInLevel.
	Level string `json:"level"`
}

// Effective returns the values in effect at path, in the order of Specs. path is
// a section name: DEFAULT, service.NAME, service.NAME.DOMAIN,
// service.NAME.DOMAIN.RANGE, domain.NAME, server.NAME, team.NAME or instances. The section itself
// may be absent from the text, except for a range.
func (t *Tree) Effective(path string) ([]EffectiveValue, error) {
	target, known := newSection(path)
	if !known {
		return nil, errors.Errorf("path %q is not a place of the tree; use DEFAULT, service.NAME, service.NAME.DOMAIN, service.NAME.DOMAIN.RANGE, domain.NAME, server.NAME, team.NAME or instances", path)
	}
	if err := t.checkTargetExists(target); err != nil {
		return nil, err
	}
	var values []EffectiveValue
	for i := range specs {
		if value, ok := t.effectiveValue(target, &specs[i]); ok {
			values = append(values, value)
		}
	}
	return values, nil
}

// checkTargetExists returns an error if the service, failure domain, server or key
// range of target does not exist.
func (t *Tree) checkTargetExists(target *section) error {
	if target.service != "" && t.services[target.service] == nil {
		return errors.Errorf("service %q does not exist; services: %s", target.service, strings.Join(t.serviceNames, ", "))
	}
	if _, ok := t.domains[target.domain]; target.domain != "" && !ok {
		return errors.Errorf("failure domain %q does not exist; failure domains: %s", target.domain, strings.Join(sortedKeys(t.domains), ", "))
	}
	if _, ok := t.servers[target.server]; target.server != "" && !ok {
		return errors.Errorf("server %q does not exist; servers: %s", target.server, strings.Join(sortedKeys(t.servers), ", "))
	}
	if _, ok := t.teams[target.team]; target.team != "" && !ok {
		return errors.Errorf("team %q does not exist; teams: %s", target.team, strings.Join(sortedKeys(t.teams), ", "))
	}
	if target.rangeName != "" && t.doc.sections[target.name] == nil {
		return errors.Errorf("key range %q does not exist; write a section [%s] or use the service and failure domain alone", target.rangeName, target.name)
	}
	return nil
}

// inheritedScopes lists, for each level, the scopes whose settings are shown there with
// inherited values. At the other levels only settings of the section itself are shown.
var inheritedScopes = map[Level][]Scope{
	LevelDefault:       {ScopeRequest, ScopeServer, ScopeControl},
	LevelService:       {ScopeRequest, ScopeServer, ScopeService},
	LevelServiceDomain: {ScopeRequest, ScopeServer},
	LevelRange:         {ScopeRequest},
	LevelDomain:        {},
	LevelServer:        {ScopeServer},
}

func (t *Tree) effectiveValue(target *section, spec *Spec) (EffectiveValue, bool) {
	value := EffectiveValue{Name: spec.Name, Unit: spec.Unit, Scope: spec.Scope}
	if spec.Name == "state" {
		return t.effectiveState(target, value)
	}
	if spec.Scope == ScopeIdentity {
		return t.effectiveIdentity(target, spec, value)
	}
	if !slices.Contains(inheritedScopes[target.level], spec.Scope) {
		return value, false
	}
	if s := t.services[target.service]; spec.Name == "hedge" && s != nil && s.Keyed {
		value.Value, value.Level = "false", serviceSection(target.service) // because keyed = true
		return value, true
	}
	found := t.chainAt(target).lookup(spec.Name)
	value.Value, value.Level = found.text, levelName(found.section)
	return value, true
}

// chainAt returns the inheritance chain of target.
func (t *Tree) chainAt(target *section) chain {
	if target.level == LevelServer {
		server := t.servers[target.server]
		return t.doc.serverChain(server.Name, server.Service, server.Domain)
	}
	if target.service == "" {
		return t.doc.defaultChain()
	}
	return t.doc.requestChain(target.service, target.domain, target.rangeName)
}

// effectiveState resolves the state of a service, failure domain or server. Its level
// is the section that takes target out of service, if any.
func (t *Tree) effectiveState(target *section, value EffectiveValue) (EffectiveValue, bool) {
	service, domain := target.service, target.domain
	if target.level == LevelServer {
		service, domain = t.servers[target.server].Service, t.servers[target.server].Domain
	}
	if service == "" && domain == "" || target.level == LevelRange {
		return value, false
	}
	value.Value, value.Level = stateIn, BuiltInLevel
	if own := t.doc.sections[target.name]; own.has("state") {
		value.Level = target.name
	}
	if outBy := t.doc.outOfServiceBy(target.server, service, domain); outBy != "" {
		value.Value, value.Level = stateOut, outBy
	}
	return value, true
}

// effectiveIdentity returns a setting that describes the section itself and is not
// inherited.
func (t *Tree) effectiveIdentity(target *section, spec *Spec, value EffectiveValue) (EffectiveValue, bool) {
	own := t.doc.sections[target.name]
	if spec.Levels&target.level == 0 {
		return value, false
	}
	if own.has(spec.Name) {
		value.Value, value.Level = own.values[spec.Name], target.name
		return value, true
	}
	value.Level = BuiltInLevel
	if spec.Name == "shard" {
		value.Value = t.serverShardText(target.server)
	}
	return value, true
}

func levelName(section string) string {
	if section == "" {
		return BuiltInLevel
	}
	return section
}
