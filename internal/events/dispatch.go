package events

import "github.com/charmbracelet/log"

// Events of one request at the holder of its shard, 1400 to 1449.
var (
	RequestAdmitted       = register(1400, "request_admitted", log.InfoLevel, "A request was given a slot of a backend server.")
	RequestCopied         = register(1401, "request_copied", log.InfoLevel, "All mirrors hold the record of a request.")
	RequestDispatched     = register(1402, "request_dispatched", log.InfoLevel, "A request is sent to a backend server.")
	RequestAnswered       = register(1403, "request_answered", log.InfoLevel, "A backend server has answered a request.")
	RequestRefused        = register(1404, "request_refused", log.InfoLevel, "A request was refused and did not run.")
	RequestRetried        = register(1405, "request_retried", log.InfoLevel, "A request is retried.")
	RequestHedged         = register(1406, "request_hedged", log.InfoLevel, "A slow request is sent to a second backend server.")
	RequestJoined         = register(1407, "request_joined", log.InfoLevel, "A repeated request waits for the original, which is still running.")
	RequestReplayed       = register(1408, "request_replayed", log.InfoLevel, "A repeated request gets the stored response.")
	RequestUnknown        = register(1409, "request_unknown", log.WarnLevel, "A request may have run, but its response was lost.")
	RequestEnded          = register(1410, "request_ended", log.InfoLevel, "A request has ended at the holder of its shard.")
	DispatchFailed        = register(1411, "dispatch_failed", log.WarnLevel, "A backend server did not answer a request.")
	ServerCold            = register(1412, "server_cold", log.WarnLevel, "A backend server is considered cold and its load is limited.")
	RequestsMarked        = register(1413, "requests_marked", log.WarnLevel, "Requests were in flight when a backend server crashed.")
	RequestCleared        = register(1414, "request_cleared", log.InfoLevel, "A marked request has succeeded while it was the only one on a backend server.")
	MirrorSetChanged      = register(1415, "mirror_set_changed", log.InfoLevel, "The witnesses have acknowledged a new mirror set.")
	RecordsTakenOver      = register(1416, "records_taken_over", log.InfoLevel, "A new holder has taken over the request records of its shard.")
	RequestLoserCancelled = register(1417, "request_loser_cancelled", log.InfoLevel, "The slower of two hedged dispatches was cancelled.")
)
