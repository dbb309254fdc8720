package authority

// PromiseReply is the answer of a witness. Witness differs from the request's
// To when another incarnation answered; there are no replies then.
type PromiseReply struct {
	Witness Instance
	Replies []ClaimReply
}
