package link

// Member is what an instance tells of itself when it joins the holder.
type Member struct {
	Instance string
	Domain   string
	// ProcessorShare is the share of a processor that the machine gives.
	ProcessorShare float64
}
