package settings

import (
	"strconv"
	"time"
)

// chain is the sections that a value is looked up in, most specific first. Nil
// entries stand for sections that are not written.
type chain []*section

// lookup returns the first value of the setting in the chain, or the built-in default.
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
