package events

import "github.com/charmbracelet/log"

// Events of an instance on a platform with its own list of servers, 1700 to 1799.
var (
	ConfigInForce        = register(1700, "config_in_force", log.InfoLevel, "A new configuration is in effect at this instance.")
	ConfigRefused        = register(1701, "config_refused", log.WarnLevel, "A configuration was rejected; the one in effect is kept.")
	DomainsTakenOut      = register(1702, "domains_out", log.InfoLevel, "The set of failure domains that are taken out of service has changed.")
	StoreLost            = register(1703, "store_lost", log.WarnLevel, "The platform's store does not answer this instance.")
	StoreRegained        = register(1704, "store_regained", log.InfoLevel, "The platform's store answers this instance again.")
	EntryUnreadable      = register(1705, "entry_unreadable", log.WarnLevel, "An entry of the server list does not describe a backend server and is ignored.")
	ServerSaysLeaving    = register(1706, "server_says_leaving", log.InfoLevel, "A backend server has said in a response that it is leaving.")
	ServerAsksForPause   = register(1707, "server_asks_for_pause", log.InfoLevel, "A backend server wants no requests from this instance for a while.")
	SignalUnreadable     = register(1708, "signal_unreadable", log.WarnLevel, "A backend server asked something of the fleet in a form that cannot be read; it is ignored.")
	ServerLimitChanged   = register(1709, "server_limit_changed", log.InfoLevel, "A backend server names another limit on the requests/s from all instances, or none any more (0).")
	HolderElected        = register(1710, "holder_elected", log.InfoLevel, "This instance has become the holder.")
	HolderEnded          = register(1711, "holder_ended", log.InfoLevel, "This instance is no longer the holder.")
	HolderFollowed       = register(1712, "holder_followed", log.InfoLevel, "This instance follows a holder.")
	HolderLost           = register(1713, "holder_lost", log.WarnLevel, "This instance has lost its link to the holder.")
	LeaseLost            = register(1714, "lease_lost", log.WarnLevel, "The holder's lease could not be renewed.")
	OwnerRecordStored    = register(1715, "record_stored", log.InfoLevel, "The record of the key owners was stored.")
	OwnerRecordFailed    = register(1716, "record_failed", log.WarnLevel, "The record of the key owners could not be stored; the write is retried.")
	OrderEnded           = register(1717, "order_ended", log.InfoLevel, "An order to a backend server has ended.")
	MovePlanned          = register(1718, "move_planned", log.InfoLevel, "A move of keys to another owner is planned.")
	ReadForHolder        = register(1719, "read_for_holder", log.InfoLevel, "This instance reads the store itself because the holder's data is out of date.")
	CallEnded            = register(1720, "call_ended", log.InfoLevel, "A request has received its final response.")
	AttemptEnded         = register(1721, "attempt_ended", log.InfoLevel, "An attempt at a backend server has ended without a response for the caller.")
	CallUnwritten        = register(1722, "call_unwritten", log.WarnLevel, "A response could not be written to its caller.")
	SettingsReloaded     = register(1730, "settings_reloaded", log.InfoLevel, "The settings file was read again.")
	SettingsReloadFailed = register(1731, "settings_reload_failed", log.ErrorLevel, "The settings file was rejected; the settings in effect are kept.")
	CallerReady          = register(1732, "caller_ready", log.InfoLevel, "The instance reports that it is ready for callers.")
)
