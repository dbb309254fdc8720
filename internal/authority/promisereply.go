package authority

// PromiseReply is a witness's reply. If another incarnation answered, Witness
// differs from the request's To and Replies is empty.
type PromiseReply struct {
	Witness Instance
	Replies []ClaimReply
}
