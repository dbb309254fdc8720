package events

import "github.com/charmbracelet/log"

// Events of the instance as a whole, 1050 to 1099.
var (
	SettingsApplied = register(1050, "settings_applied", log.InfoLevel, "The instance uses a new version of the settings.")
	HandOverBegun   = register(1051, "hand_over_begun", log.InfoLevel, "The holder of a shard rejects new requests in order to hand the shard over.")
	HandOverEnded   = register(1052, "hand_over_ended", log.InfoLevel, "The holder of a shard has returned its promises to the witnesses.")
	HandOverFailed  = register(1053, "hand_over_failed", log.WarnLevel, "A step of a hand-over failed; the witnesses elect the next holder.")
	StopCutOff      = register(1055, "stop_cut_off", log.ErrorLevel, "Requests were still running at the end of the planned stop and were aborted.")
	InstanceReady   = register(1054, "instance_ready", log.InfoLevel, "The instance accepts requests from callers.")
)
