package events

import "github.com/charmbracelet/log"

// Events of an instance on a platform with its own list of servers, 1700 to 1799.
var (
	ConfigInForce        = register(1700, "config_in_force", log.InfoLevel, "A new configuration is in force at this instance.")
	ConfigRefused        = register(1701, "config_refused", log.WarnLevel, "A configuration could not be used; the one in force stays.")
	DomainsTakenOut      = register(1702, "domains_out", log.InfoLevel, "The failure domains that are taken out have changed.")
	StoreLost            = register(1703, "store_lost", log.WarnLevel, "The platform's store does not answer this instance.")
	StoreRegained        = register(1704, "store_regained", log.InfoLevel, "The platform's store answers this instance again.")
	EntryUnreadable      = register(1705, "entry_unreadable", log.WarnLevel, "An entry of the list names no backend server and is left out.")
	HolderElected        = register(1710, "holder_elected", log.InfoLevel, "This instance has become the holder.")
	HolderEnded          = register(1711, "holder_ended", log.InfoLevel, "This instance is the holder no more.")
	HolderFollowed       = register(1712, "holder_followed", log.InfoLevel, "This instance follows a holder.")
	HolderLost           = register(1713, "holder_lost", log.WarnLevel, "This instance has lost its link to the holder.")
	LeaseLost            = register(1714, "lease_lost", log.WarnLevel, "The holder's lease could not be renewed.")
	OwnerRecordStored    = register(1715, "record_stored", log.InfoLevel, "The record of owners was stored.")
	OwnerRecordFailed    = register(1716, "record_failed", log.WarnLevel, "The record of owners was not stored; it is tried again.")
	OrderEnded           = register(1717, "order_ended", log.InfoLevel, "An order to a backend server has ended.")
	MovePlanned          = register(1718, "move_planned", log.InfoLevel, "Keys are planned to change their owner.")
	ReadForHolder        = register(1719, "read_for_holder", log.InfoLevel, "This instance reads the store because the holder's reading is old.")
	CallEnded            = register(1720, "call_ended", log.InfoLevel, "A request has got its final answer.")
	AttemptEnded         = register(1721, "attempt_ended", log.InfoLevel, "An attempt at a backend server has ended without an answer for the caller.")
	CallUnwritten        = register(1722, "call_unwritten", log.WarnLevel, "An answer could not be written to its caller.")
	SettingsReloaded     = register(1730, "settings_reloaded", log.InfoLevel, "The settings file was read again.")
	SettingsReloadFailed = register(1731, "settings_reload_failed", log.ErrorLevel, "The settings file could not be used; the settings in force stay.")
	CallerReady          = register(1732, "caller_ready", log.InfoLevel, "The instance reports itself ready.")
)
