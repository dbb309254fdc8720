package entrynode

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"peridotmoor.org/peridotmoor/internal/nodeconfig"
)

// Load reads and checks the settings file.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "read the settings file; give its path with --config")
	}
	return Parse(text, path)
}

// Parse parses and checks text. Its error is a nodeconfig.Issues with every invalid
// setting. fileName is only used in error messages.
func Parse(text []byte, fileName string) (Config, error) {
	file, err := ini.Load(text)
	if err != nil {
		return Config{}, nodeconfig.Issues{{File: fileName, Reason: "not readable as INI: " + err.Error(), Remedy: "correct the line that the message names"}}
	}
	p := &parser{file: fileName, ini: file}
	config := Config{
		Name:             p.text("instance", "name"),
		Domain:           p.text("instance", "domain"),
		FirstStart:       p.boolean("instance", "first_start"),
		ProcessorShare:   p.number("instance", "processor_share"),
		Memory:           p.megabytes("instance", "memory_mb"),
		Descriptors:      p.descriptors("instance", "descriptors"),
		CallerAddress:    p.address("listen", "callers"),
		ReadinessAddress: p.address("listen", "ready"),
		PeerAddress:      p.address("listen", "peers"),
		MetricsAddress:   p.address("listen", "metrics"),
		StoreAddress:     p.address("store", "address"),
		GracePeriod:      p.seconds("bounds", "grace_s"),
		RetryRatio:       p.number("bounds", "retry_ratio"),
		RetryExtra:       p.number("bounds", "retry_extra"),
		RetryWindow:      p.seconds("bounds", "retry_window_s"),
		DomainOutLimit:   p.domainOutLimit("bounds", "domain_out_s"),
		HedgeShare:       p.optionalShare("bounds", "hedge_share"),
	}
	if len(p.issues) > 0 {
		return Config{}, p.issues
	}
	return config, nil
}

// parser reads the settings of a file and collects its invalid settings.
type parser struct {
	file   string
	ini    *ini.File
	issues nodeconfig.Issues
}

func (p *parser) addIssue(section, key, value, reason, remedy string) {
	p.issues = append(p.issues, nodeconfig.Issue{File: p.file, Section: section, Key: key, Value: value, Reason: reason, Remedy: remedy})
}

func (p *parser) text(section, key string) string {
	value := p.ini.Section(section).Key(key).String()
	if value == "" {
		p.addIssue(section, key, value, "is missing", "set it")
	}
	return value
}

func (p *parser) boolean(section, key string) bool {
	value := p.text(section, key)
	flag, err := strconv.ParseBool(value)
	if value != "" && err != nil {
		p.addIssue(section, key, value, "is not a boolean", "set it to true or false")
	}
	return flag
}

func (p *parser) address(section, key string) string {
	value := p.text(section, key)
	if value == "" {
		return ""
	}
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		p.addIssue(section, key, value, "is not a network address", "use host:port")
	}
	return value
}

func (p *parser) number(section, key string) float64 {
	value := p.text(section, key)
	n, err := strconv.ParseFloat(value, 64)
	if value != "" && (err != nil || n < 0) {
		p.addIssue(section, key, value, "is not a non-negative number", "use a number of 0 or more")
	}
	return n
}

// Limits on memory_mb. Below the least, a long head of a response would never get its memory.
const (
	defaultMemoryMB = 144 // the smallest machine that runs an instance
	minMemoryMB     = 64
	maxMemoryMB     = 1 << 20
)

// megabytes returns a number of bytes that is set in MB and may be missing.
func (p *parser) megabytes(section, key string) int64 {
	value := p.ini.Section(section).Key(key).String()
	if value == "" {
		return defaultMemoryMB << 20
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= minMemoryMB && n <= maxMemoryMB) { // also if it is not a number
		p.addIssue(section, key, value, "is not a size of memory", fmt.Sprintf("use a number of MB from %d to %d, or leave it out for %d", minMemoryMB, maxMemoryMB, defaultMemoryMB))
		return 0
	}
	return int64(n * (1 << 20))
}

// descriptors returns a number of descriptors that may be missing.
func (p *parser) descriptors(section, key string) int {
	value := p.ini.Section(section).Key(key).String()
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < minDescriptors || n > maxDescriptors {
		p.addIssue(section, key, value, "is not a number of descriptors", fmt.Sprintf("use a number from %d to %d, or leave it out for the limit of the process", minDescriptors, maxDescriptors))
		return 0
	}
	return n
}

func (p *parser) seconds(section, key string) time.Duration {
	n := p.number(section, key)
	if n == 0 && len(p.issues) == 0 {
		p.addIssue(section, key, "0", "is not a positive duration", "use a number of seconds above 0")
	}
	return time.Duration(n * float64(time.Second))
}

// Limits on domain_out_s.
const (
	defaultDomainOutLimit = 5 * time.Second
	maxDomainOutSeconds   = 3600
)

// domainOutLimit returns a duration that may be missing.
func (p *parser) domainOutLimit(section, key string) time.Duration {
	value := p.ini.Section(section).Key(key).String()
	if value == "" {
		return defaultDomainOutLimit
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n > 0 && n <= maxDomainOutSeconds) { // also if it is not a number
		p.addIssue(section, key, value, "is not a positive duration", fmt.Sprintf("use a number of seconds above 0, up to %d, or leave it out for %g", maxDomainOutSeconds, defaultDomainOutLimit.Seconds()))
		return 0
	}
	return time.Duration(n * float64(time.Second))
}

// optionalShare returns a number from 0 to 1, or 0 if the setting is missing.
func (p *parser) optionalShare(section, key string) float64 {
	value := p.ini.Section(section).Key(key).String()
	if value == "" {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= 0 && n <= 1) { // refuses NaN too
		p.addIssue(section, key, value, "is not a share", "use a number from 0 to 1, or remove it to send no hedges")
		return 0
	}
	return n
}
