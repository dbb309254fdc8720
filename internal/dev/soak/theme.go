package soak

// theme is a mix of events, as weights by kind.
type theme struct {
	name    string
	weights []weightedKind
}

// themes are the mixes from which a seed draws one. Fewer kinds together leave fewer
// requests that an impairment excuses.
var themes = []theme{
	{"planned work", []weightedKind{{eventStop, 5}, {eventStopTwice, 2}, {eventStopAtStart, 1}, {eventStopSeveral, 4}, {eventHangup, 1}, {eventConfigure, 2}, {eventConfigureTwin, 1}}},
	{"lost processes", []weightedKind{{eventStop, 3}, {eventStopSeveral, 2}, {eventKill, 3}, {eventPause, 3}, {eventConfigure, 2}, {eventHangup, 1}}},
	{"store", []weightedKind{{eventStop, 3}, {eventStopSeveral, 1}, {eventStoreDown, 2}, {eventStoreSlow, 2}, {eventStoreLost, 2}, {eventStoreCut, 2}, {eventConfigure, 2}}},
	{"servers", []weightedKind{{eventStop, 3}, {eventStopSeveral, 1}, {eventServerFault, 4}, {eventServerCrash, 2}, {eventServerDrain, 2}, {eventConfigure, 1}}},
	{"everything", []weightedKind{{eventStop, 2}, {eventStopTwice, 1}, {eventStopAtStart, 1}, {eventStopSeveral, 1}, {eventKill, 1}, {eventPause, 1}, {eventHangup, 1}, {eventConfigure, 2}, {eventStoreDown, 1},
		{eventStoreLost, 1}, {eventStoreCut, 1}, {eventPeerFault, 1}, {eventServerFault, 1}, {eventServerCrash, 1}, {eventServerDrain, 1}}},
}
