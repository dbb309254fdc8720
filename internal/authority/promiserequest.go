package authority

// PromiseRequest carries all claims of one candidate or holder for one witness.
type PromiseRequest struct {
	Candidate Instance
	// To is the incarnation that the request is addressed to. Any other
	// incarnation refuses, because the promises of the earlier one are lost.
	To     Instance
	Claims []ShardClaim
}
