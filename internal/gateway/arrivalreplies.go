package gateway

// The replies to calls that are refused on arrival.
var (
	replyNoConfig = Reply{Outcome: OutcomeNotRun, RetryAfter: retryAfterNoConfig, Detail: "no configuration yet"}
	replyNoRoute  = Reply{Outcome: OutcomeNoRoute, Detail: "no route"}
	replyStopping = Reply{Outcome: OutcomeNotRun, RetryAfter: retryAfterStopping, Detail: "the instance is stopping and may end before the request"}
)

// replyUnauthorized returns the reply to a call that is not authorized.
func replyUnauthorized(reason denial, when string) Reply {
	return Reply{Outcome: OutcomeUnauthorized, Detail: "key " + reason.String() + " " + when}
}
