package soak

// eventKind is a kind of fault or planned work.
type eventKind string

const (
	eventStop          eventKind = "stop"          // SIGTERM, and a start after the end
	eventStopTwice     eventKind = "stop twice"    // SIGTERM, and another one during the stop
	eventStopAtStart   eventKind = "stop at start" // stop, start, SIGTERM right after the start, start
	eventKill          eventKind = "kill"
	eventPause         eventKind = "pause"
	eventHangup        eventKind = "hangup"
	eventConfigure     eventKind = "configure"
	eventStoreDown     eventKind = "store down"
	eventStoreSlow     eventKind = "store slow"
	eventStoreLost     eventKind = "store loses answers"
	eventStoreCut      eventKind = "store cut" // connections of one instance to the store
	eventStoreFar      eventKind = "store far" // the store answers each call of all instances late, and some not at all
	eventPeerFault     eventKind = "peer fault"
	eventServerFault   eventKind = "server fault"
	eventServerCrash   eventKind = "server crash"
	eventServerDrain   eventKind = "server drain"
	eventServerLeave   eventKind = "server leave"  // says so in its responses only
	eventServerRetire  eventKind = "server retire" // says so in its entry only
	eventServerLimit   eventKind = "server limit"  // names a rate limit in its responses
	eventServerShed    eventKind = "server shed"   // turns requests away and asks for a pause
	eventOddEntries    eventKind = "odd entries"   // another program writes among the backend servers
	eventSpoilRecord   eventKind = "spoil record"  // another program writes over the record of owners
	eventSpoilHolder   eventKind = "spoil holder"  // and over the key of the holder
	eventSpoilConfig   eventKind = "spoil config"  // and over the configuration, until the operator writes it again
	eventStoreCopy     eventKind = "store copy"    // the store is down and comes back from a copy that is some seconds old
	eventStopSeveral   eventKind = "stop several"  // stops of several instances that overlap
	eventDomainCut     eventKind = "domain cut"    // a failure domain is cut off from the others and the store
	eventDomainOut     eventKind = "domain out"    // the operators take a failure domain out, and back
	eventSlow          eventKind = "slow"          // the process runs a third of the time
	eventConfigureTwin eventKind = "configure twice"
)
