package events

import "github.com/charmbracelet/log"

// Events of settings and their dissemination, 1300 to 1399.
var (
	SettingsInstalled    = register(1300, "settings_installed", log.InfoLevel, "A settings version is in effect at this instance.")
	SettingsRefused      = register(1301, "settings_refused", log.ErrorLevel, "A settings version was refused and the one before stays in effect.")
	SettingsForked       = register(1302, "settings_forked", log.ErrorLevel, "The store holds another tree under the version number in effect; apply the wanted tree once more.")
	SettingsRepaired     = register(1303, "settings_repaired", log.WarnLevel, "The store held an older settings version and got the one in effect back.")
	SettingsRepairFailed = register(1304, "settings_repair_failed", log.WarnLevel, "The store holds an older settings version and could not be repaired yet.")
	WatcherStarted       = register(1310, "watcher_started", log.InfoLevel, "This instance watches the settings in the store for its failure domain.")
	WatcherEnded         = register(1311, "watcher_ended", log.InfoLevel, "This instance no longer watches the settings in the store.")
	WatcherStoreLost     = register(1312, "watcher_store_lost", log.WarnLevel, "The store does not respond; the settings in effect stay.")
	WatcherStoreBack     = register(1313, "watcher_store_back", log.InfoLevel, "The store responds again.")
	ExchangeFailed       = register(1320, "exchange_failed", log.DebugLevel, "A peer did not answer an exchange.")
)
