package owners

// RecordRange is one range in the record.
type RecordRange struct {
	From    int    `json:"from"`
	To      int    `json:"to"`
	Owner   string `json:"owner"`
	StartMS int64  `json:"born"`
	Fence   int64  `json:"fence"`
	// Previous is the owner that may not have released the range yet.
	Previous        string `json:"previous,omitempty"`
	PreviousStartMS int64  `json:"previousBorn,omitempty"`
	PreviousFence   int64  `json:"previousFence,omitempty"`
	// PreviousUnanswered is set if an unanswered grant to the previous owner may still
	// take effect after its release.
	PreviousUnanswered bool `json:"previousLate,omitempty"`
	// PreviousAmbiguous is set if an owner between the previous one and this one may
	// hold the range instead, so that the end of the previous one proves nothing.
	PreviousAmbiguous bool `json:"previousShared,omitempty"`
}
