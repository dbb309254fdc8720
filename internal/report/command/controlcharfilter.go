package command

import (
	"bytes"
	"io"
)

// controlCharFilter replaces control characters. Keys and details come from callers and
// must not control the reader's terminal.
type controlCharFilter struct {
	to io.Writer
}

// Write implements io.Writer.
func (p controlCharFilter) Write(text []byte) (int, error) {
	clean := bytes.Map(func(r rune) rune {
		if r != '\n' && (r < ' ' || r >= 0x7f && r < 0xa0) {
			return '?'
		}
		return r
	}, text)
	if _, err := p.to.Write(clean); err != nil {
		return 0, err
	}
	return len(text), nil
}
