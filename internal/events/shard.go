package events

import "github.com/charmbracelet/log"

// Events of the holder of a shard, 1200 to 1299.
var (
	GrantsBegun              = register(1200, "grants_begun", log.InfoLevel, "The instance began granting the ranges of a shard.")
	GrantsEnded              = register(1201, "grants_ended", log.InfoLevel, "The instance's tenure of a shard has ended.")
	ShardLoadFailed          = register(1202, "shard_load_failed", log.WarnLevel, "The assignment of a shard could not be read; the read is retried.")
	ShardRecordInvalid       = register(1203, "shard_record_invalid", log.ErrorLevel, "The stored assignment does not cover the shard; a new assignment is planned.")
	ShardCommitted           = register(1204, "shard_committed", log.InfoLevel, "An assignment was committed to the store.")
	ShardCommitFailed        = register(1205, "shard_commit_failed", log.WarnLevel, "An assignment could not be committed; it is planned again.")
	ServerSilent             = register(1210, "server_silent", log.WarnLevel, "A backend server did not acknowledge its grant in time.")
	ServerAnswering          = register(1211, "server_answering", log.InfoLevel, "A backend server acknowledges grants again.")
	ServerRestarted          = register(1212, "server_restarted", log.WarnLevel, "A backend server answered with a new incarnation and holds no grant.")
	ServerLeaving            = register(1213, "server_leaving", log.InfoLevel, "A backend server started or stopped draining.")
	ServerFollowsHigherToken = register(1214, "server_follows_higher_token", log.WarnLevel, "A backend server follows a holder with a higher token.")
	ServerStateChanged       = register(1215, "server_state_changed", log.InfoLevel, "The settings took a backend server out of service or back into service.")
	OwnerReplaced            = register(1220, "owner_replaced", log.WarnLevel, "A standby took over a range because the grant of its owner had ended.")
	OwnerMissing             = register(1221, "owner_missing", log.ErrorLevel, "The owner of a range was lost and no standby answers.")
	MoveStarted              = register(1222, "move_started", log.DebugLevel, "A range began to move to another backend server.")
	MoveEnded                = register(1223, "move_ended", log.InfoLevel, "A range is served by its new owner.")
	MovePutOff               = register(1224, "move_put_off", log.InfoLevel, "A move was postponed because the requests of its range did not end in time.")
	UncommittedOwner         = register(1225, "uncommitted_owner", log.WarnLevel, "No committed server of a range can take it; another one gets it before the change is committed.")
)
