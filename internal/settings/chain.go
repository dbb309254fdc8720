package settings

import (
	"strconv"
	"time"
)

// chain lists the sections that a value is inherited from, most specific first.
// A nil entry stands for a section that is absent from the text.
type chain []*section

// lookup returns the value of the most specific section that sets name, or the
// built-in default.
func (c chain) lookup(name string) resolvedValue {
	spec := specByName[name]
	for _, s := range c {
		if s.has(name) && spec.Levels&s.level != 0 {
			return resolvedValue{s.values[name], s.name}
		}
	}
	return resolvedValue{text: spec.Default}
}

func (c chain) duration(name string) time.Duration {
	d, _ := time.ParseDuration(c.lookup(name).text)
	return d
}

func (c chain) integer(name string) int {
	n, _ := strconv.Atoi(c.lookup(name).text)
	return n
}

func (c chain) bool(name string) bool {
	return c.lookup(name).text == "true"
}
