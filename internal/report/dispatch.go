package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Dispatch is one sending of a request to a backend server.
type Dispatch struct {
	At     time.Time `json:"at"`
	Holder string    `json:"holder"`
	Server string    `json:"server"`
	Token  string    `json:"token"`
	// End is zero when no record tells how the dispatch ended.
	End      time.Time `json:"end"`
	Answered bool      `json:"answered"`
	// Kind and Detail say why it was not answered.
	Kind   string `json:"kind,omitempty"`
	Detail string `json:"detail,omitempty"`

	stage outcome.Stage
}

// EndMissing reports that no record tells how the dispatch ended.
func (d *Dispatch) EndMissing() bool {
	return d.End.IsZero()
}

// MayHaveRun reports whether the server may have run the request.
func (d *Dispatch) MayHaveRun() bool {
	return d.EndMissing() || d.Answered || outcome.Conclude(d.stage, false).Outcome != outcome.NotRun
}
