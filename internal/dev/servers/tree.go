package servers

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Prefixes of the sections of a settings tree that configure servers and services.
const (
	serverPrefix  = "server."
	servicePrefix = "service."
)

// ConfigsFromTree returns a configuration for each [server.NAME] of a settings tree in
// INI, on a free loopback port. profile gives the values that the tree does not set.
func ConfigsFromTree(tree []byte, profile Config) ([]Config, error) {
	file, err := ini.Load(tree)
	if err != nil {
		return nil, errors.Wrap(err, "settings tree")
	}
	var configs []Config
	for _, section := range file.Sections() {
		name, found := strings.CutPrefix(section.Name(), serverPrefix)
		if !found {
			continue
		}
		config, err := fromSection(file, section, name, profile)
		if err != nil {
			return nil, errors.Wrapf(err, "section [%s]", section.Name())
		}
		configs = append(configs, config)
	}
	if len(configs) == 0 {
		return nil, errors.New("the settings tree has no [server.NAME] section")
	}
	return configs, nil
}

func fromSection(file *ini.File, section *ini.Section, name string, profile Config) (Config, error) {
	config := profile
	config.Name = name
	config.Service = section.Key("service").String()
	config.Domain = section.Key("domain").String()
	config.Seed = profile.Seed ^ xxhash.Sum64String(name)
	if config.Service == "" || config.Domain == "" {
		return Config{}, errors.New("service or domain is not set")
	}
	levels := []*ini.Section{section, file.Section(servicePrefix + config.Service), file.Section(ini.DefaultSection)}
	var err error
	if config.Keyed, err = inherited(levels, "keyed").Bool(); err != nil {
		return Config{}, errors.Wrap(err, "keyed")
	}
	if config.ChecksTokens, err = inherited(levels, "checks_tokens").Bool(); err != nil {
		return Config{}, errors.Wrap(err, "checks_tokens")
	}
	if config.Slots, err = inherited(levels, "slots").Int(); err != nil {
		return Config{}, errors.Wrap(err, "slots")
	}
	return config, nil
}

// defaults are the values of settings that are set at no level of the tree.
var defaults = map[string]string{"keyed": "false", "checks_tokens": "false", "slots": "3"}

// inherited returns the setting from the first level that sets it.
func inherited(levels []*ini.Section, name string) *ini.Key {
	for _, level := range levels {
		if level.HasKey(name) {
			return level.Key(name)
		}
	}
	key, _ := ini.Empty().Section("").NewKey(name, defaults[name])
	return key
}
