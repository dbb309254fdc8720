package authority

// PromiseRequest carries all claims that one candidate or holder has with one
// witness.
type PromiseRequest struct {
	Candidate Instance
	// To is the incarnation the sender believes it speaks to. Any other
	// incarnation promises nothing, because it has lost the promises of the former.
	To     Instance
	Claims []ShardClaim
}
