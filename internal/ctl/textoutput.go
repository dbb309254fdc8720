package ctl

import (
	"io"

	"peridotmoor.org/peridotmoor/internal/settings/version"
)

// textOutput is the output of show --text: the settings text of one version.
type textOutput struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func (t textOutput) writeText(w io.Writer) {
	io.WriteString(w, addParentHeader(version.Version{Number: t.Version, Text: t.Text}))
}
