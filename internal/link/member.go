package link

// Member describes an instance to the holder that it joins.
type Member struct {
	Instance string
	Domain   string
	// Address is where other instances reach the instance.
	Address string
	// ProcessorShare is the share of a processor available on the instance's machine.
	ProcessorShare float64
	// Stopping is set once the planned stop of the instance has begun, and Ending once it
	// ends so soon that it does not become the holder.
	Stopping, Ending bool
}
