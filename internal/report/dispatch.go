package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// Dispatch is one dispatch of a request to a backend server.
type Dispatch struct {
	At     time.Time `json:"at"`
	Holder string    `json:"holder"`
	Server string    `json:"server"`
	Token  string    `json:"token"`
	// End is zero when the end of the dispatch is not recorded.
	End      time.Time `json:"end"`
	Answered bool      `json:"answered"`
	// Kind and Detail give the cause if the server did not answer.
	Kind   string `json:"kind,omitempty"`
	Detail string `json:"detail,omitempty"`

	stage outcome.Stage
}

// EndMissing reports whether the end of the dispatch is not recorded.
func (d *Dispatch) EndMissing() bool {
	return d.End.IsZero()
}

// MayHaveRun reports whether the server may have run the request.
func (d *Dispatch) MayHaveRun() bool {
	return d.EndMissing() || d.Answered || outcome.Classify(d.stage, false).Outcome != outcome.NotRun
}
