package soak

// theme is a mix of events, as weights by kind.
type theme struct {
	name    string
	weights []weightedKind
	// atHolder directs all events of instances at the holder.
	atHolder bool
	// long prolongs the faults of links, so that facts grow too old.
	long bool
}

// themes are the mixes from which a seed draws one. Fewer kinds together leave fewer
// requests that an impairment excuses.
var themes = []theme{
	{name: "planned work", weights: []weightedKind{{eventStop, 5}, {eventStopTwice, 2}, {eventStopAtStart, 1}, {eventStopSeveral, 4}, {eventHangup, 1}, {eventConfigure, 2}, {eventConfigureTwin, 1}}},
	{name: "lost processes", weights: []weightedKind{{eventStop, 3}, {eventStopSeveral, 2}, {eventKill, 3}, {eventPause, 3}, {eventConfigure, 2}, {eventHangup, 1}}},
	{name: "store", weights: []weightedKind{{eventStop, 3}, {eventStopSeveral, 1}, {eventStoreDown, 2}, {eventStoreSlow, 2}, {eventStoreLost, 2}, {eventStoreCut, 2}, {eventConfigure, 2}}},
	{name: "servers", weights: []weightedKind{{eventStop, 3}, {eventStopSeveral, 1}, {eventServerFault, 4}, {eventServerCrash, 2}, {eventServerDrain, 2}, {eventConfigure, 1}}},
	{name: "everything", weights: []weightedKind{{eventStop, 2}, {eventStopTwice, 1}, {eventStopAtStart, 1}, {eventStopSeveral, 1}, {eventKill, 1}, {eventPause, 1}, {eventHangup, 1}, {eventConfigure, 2}, {eventStoreDown, 1},
		{eventStoreLost, 1}, {eventStoreCut, 1}, {eventPeerFault, 1}, {eventServerFault, 1}, {eventServerCrash, 1}, {eventServerDrain, 1}}},
}

// oddEntriesTheme is the name of the theme in which odd entries stand among those of the
// backend servers from the start.
const oddEntriesTheme = "odd entries"

// lateFactsTheme is the name of the theme in which servers leave while instances read the store
// late or not at all.
const lateFactsTheme = "late facts"

// domainsOutTheme is the name of the theme in which failure domains are taken out while holders are
// lost and instances cannot read the store.
const domainsOutTheme = "domains out"

// storeCopyTheme is the name of the theme in which the store comes back from older copies.
const storeCopyTheme = "store copies"

// slowCallersTheme is the name of the theme in which every second caller reads slowly.
const slowCallersTheme = "slow callers"

// earlyAnswersTheme is the name of the theme in which servers answer before they have read.
const earlyAnswersTheme = "early answers"

// namedThemes are mixes that only an option selects, so that seeds without it keep their schedules.
var namedThemes = []theme{
	{name: earlyAnswersTheme, weights: []weightedKind{{eventStop, 5}, {eventStopTwice, 1}, {eventStopSeveral, 3}, {eventHangup, 1}, {eventConfigure, 1}, {eventKill, 1}, {eventPause, 1}, {eventServerDrain, 2}}},
	{name: slowCallersTheme, weights: []weightedKind{{eventStop, 5}, {eventStopTwice, 1}, {eventStopSeveral, 4}, {eventHangup, 1}, {eventConfigure, 1}}},
	{name: "links", weights: []weightedKind{{eventPeerFault, 6}, {eventStoreCut, 2}, {eventStop, 1}, {eventPause, 1}, {eventKill, 1}}, atHolder: true},
	{name: "backpressure", weights: []weightedKind{{eventServerLeave, 3}, {eventServerLimit, 5}, {eventServerShed, 4}, {eventServerDrain, 1}, {eventStop, 2}, {eventKill, 1}, {eventPause, 1},
		{eventStoreDown, 2}, {eventStoreSlow, 1}, {eventStoreCut, 1}, {eventPeerFault, 1}}},
	{name: lateFactsTheme, weights: []weightedKind{{eventServerRetire, 10}, {eventStoreFar, 2}, {eventStoreCut, 7}, {eventPeerFault, 4}, {eventStoreDown, 1}, {eventKill, 1}, {eventStop, 1}, {eventPause, 1}}, long: true},
	{name: domainsOutTheme, weights: []weightedKind{{eventDomainOut, 6}, {eventStoreCut, 5}, {eventKill, 6}, {eventStop, 2}, {eventStoreFar, 1}, {eventPeerFault, 1}, {eventStoreDown, 1}, {eventConfigure, 1}}, long: true},
	{name: "holder cuts", weights: []weightedKind{{eventDomainCut, 1}}, atHolder: true},
	{name: "domain cuts", weights: []weightedKind{{eventDomainCut, 6}, {eventStop, 1}, {eventStopSeveral, 1}, {eventKill, 2}, {eventPause, 2}, {eventSlow, 2}, {eventStoreDown, 1}, {eventStoreCut, 1},
		{eventServerDrain, 1}, {eventServerCrash, 1}, {eventConfigure, 1}}},
	{name: oddEntriesTheme, weights: []weightedKind{{eventOddEntries, 6}, {eventSpoilRecord, 3}, {eventSpoilHolder, 2}, {eventSpoilConfig, 2}, {eventServerDrain, 1}, {eventServerCrash, 1}, {eventStop, 2},
		{eventKill, 2}, {eventPause, 1}, {eventStoreDown, 1}, {eventStoreCut, 1}, {eventConfigure, 1}}},
	{name: storeCopyTheme, weights: []weightedKind{{eventStoreCopy, 4}, {eventKill, 2}, {eventStop, 2}, {eventPause, 1}, {eventStoreCut, 2}, {eventPeerFault, 1}, {eventServerDrain, 1}, {eventConfigure, 2}}, atHolder: true},
}

// themeOf returns the theme with the name.
func themeOf(name string) (theme, bool) {
	for _, t := range append(namedThemes, themes...) {
		if t.name == name {
			return t, true
		}
	}
	return theme{}, false
}
