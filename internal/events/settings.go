package events

import "github.com/charmbracelet/log"

// Events of the settings and their distribution, 1300 to 1399.
var (
	SettingsInstalled    = register(1300, "settings_installed", log.InfoLevel, "A settings version is in effect at this instance.")
	SettingsRefused      = register(1301, "settings_refused", log.ErrorLevel, "A settings version was rejected; the previous one stays in effect.")
	SettingsForked       = register(1302, "settings_forked", log.ErrorLevel, "The store holds a different settings tree under the version number in effect; apply the wanted tree again.")
	SettingsRepaired     = register(1303, "settings_repaired", log.WarnLevel, "The store held an older settings version; the one in effect was written back.")
	SettingsRepairFailed = register(1304, "settings_repair_failed", log.WarnLevel, "The store holds an older settings version and could not be repaired yet.")
	WatcherStarted       = register(1310, "watcher_started", log.InfoLevel, "This instance watches the settings in the store for its failure domain.")
	WatcherEnded         = register(1311, "watcher_ended", log.InfoLevel, "This instance no longer watches the settings in the store.")
	WatcherStoreLost     = register(1312, "watcher_store_lost", log.WarnLevel, "The store does not respond; the settings in effect are kept.")
	WatcherStoreBack     = register(1313, "watcher_store_back", log.InfoLevel, "The store responds again.")
	ExchangeFailed       = register(1320, "exchange_failed", log.DebugLevel, "A peer did not answer an exchange.")
)
