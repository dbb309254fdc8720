package settings

import (
	"slices"
	"time"
)

const (
	stateIn  = "in"
	stateOut = "out"
)

const (
	requestLevels = LevelDefault | LevelService | LevelServiceDomain | LevelRange
	serverLevels  = LevelDefault | LevelService | LevelServiceDomain | LevelServer
	stateLevels   = LevelService | LevelServiceDomain | LevelDomain | LevelServer
)

// specs declares all settings. The tables in docs/settings.md are generated from it and
// compared by a test.
var specs = []Spec{
	{Name: "timeout", Kind: KindDuration, Unit: "time", Scope: ScopeRequest, Default: "10s", Min: int64(time.Millisecond), Max: int64(time.Hour), Levels: requestLevels,
		Reason: "Deadline of a request whose caller sends none. The upper bound is that of the header Peridotmoor-Timeout-Ms."},
	{Name: "idle_timeout", Kind: KindDuration, Unit: "time", Scope: ScopeRequest, Default: "5s", Min: int64(100 * time.Millisecond), Max: int64(10 * time.Minute), Levels: requestLevels,
		Reason: "A streamed body that makes no progress for this long is ended; a long upload that makes progress is not."},
	{Name: "priority", Kind: KindInteger, Unit: "rank", Scope: ScopeRequest, Default: "5", Min: 0, Max: 9, Levels: requestLevels,
		Reason: "9 is served first and shed last. Ten ranks are enough to order the services of one deployment."},
	{Name: "queue_limit", Kind: KindInteger, Unit: "requests per server", Scope: ScopeRequest, Default: "64", Min: 0, Max: 10000, Levels: requestLevels,
		Reason: "A request that finds this many waiting for its server is refused as not run. With 3 slots and 5 ms each, 64 waiting requests take about 100 ms."},
	{Name: "hedge", Kind: KindBool, Unit: "", Scope: ScopeRequest, Default: "true", Levels: requestLevels,
		Reason: "Sends an idempotent request to a second server after the 95th percentile of the service. Without effect on keyed services, whose keys have one owner."},
	{Name: "retry_limit", Kind: KindInteger, Unit: "retries", Scope: ScopeRequest, Default: "2", Min: 0, Max: 5, Levels: requestLevels,
		Reason: "Retries of one request, within the retry budget and the deadline. More than a few add load when servers are slow."},
	{Name: "record_retention", Kind: KindDuration, Unit: "time", Scope: ScopeRequest, Default: "120s", Min: int64(10 * time.Second), Max: int64(10 * time.Minute), Levels: LevelDefault | LevelService,
		Reason: "How long the outcome of a non-idempotent request is kept for resends. Not set per failure domain or key range, because all instances must agree on it."},

	{Name: "slots", Kind: KindInteger, Unit: "requests", Scope: ScopeServer, Default: "3", Min: 1, Max: 64, Levels: serverLevels,
		Reason: "Requests that one backend server runs at a time."},
	{Name: "connections", Kind: KindInteger, Unit: "connections", Scope: ScopeServer, Default: "120", Min: 1, Max: 10000, Levels: serverLevels,
		Reason: "Connections that one backend server accepts, at least its slots."},
	{Name: "cold_rate", Kind: KindInteger, Unit: "requests/s", Scope: ScopeServer, Default: "5", Min: 1, Max: 1000, Levels: serverLevels,
		Reason: "Request rate at which a cold server starts its ramp; it doubles after each 10 consecutive successes."},
	{Name: "checks_tokens", Kind: KindBool, Unit: "", Scope: ScopeServer, Default: "false", Levels: serverLevels,
		Reason: "The server refuses commands with a token lower than one it has seen. For servers that do not, each takeover waits max_delivery; false is the safe assumption."},
	{Name: "state", Kind: KindState, Unit: "", Scope: ScopeServer, Default: stateIn, Levels: stateLevels,
		Reason: "Not overridden by lower levels: a server gets work only if its service, its failure domain, the service in that failure domain and the server itself are all in."},

	{Name: "keyed", Kind: KindBool, Unit: "", Scope: ScopeService, Default: "false", Levels: LevelService,
		Reason: "Each key of the service has exactly one owner among its servers."},
	{Name: "shards", Kind: KindInteger, Unit: "shards", Scope: ScopeService, Default: "1", Min: 1, Max: 256, Levels: LevelService,
		Reason: "Units of authority of the service. The design target is 256 shards overall."},

	{Name: "allow_anonymous", Kind: KindBool, Unit: "", Scope: ScopeService, Default: "false", Levels: LevelService,
		Reason: "Callers need no key for the service. Without effect if the tree has no team: then nobody needs a key."},

	{Name: "promise_ttl", Kind: KindDuration, Unit: "time", Scope: ScopeControl, Default: "600ms", Min: int64(200 * time.Millisecond), Max: int64(850 * time.Millisecond), Levels: LevelDefault,
		Reason: "How long a witness binds itself to the holder of a shard. With max_delivery it bounds the time until a key is served again after a loss, which must be below 1 s."},
	{Name: "renew_interval", Kind: KindDuration, Unit: "time", Scope: ScopeControl, Default: "150ms", Min: int64(20 * time.Millisecond), Max: int64(400 * time.Millisecond), Levels: LevelDefault,
		Reason: "Interval of renewals of promises and grants; at most a third of promise_ttl, so that one lost renewal does not end a tenure."},
	{Name: "max_delivery", Kind: KindDuration, Unit: "time", Scope: ScopeControl, Default: "200ms", Min: int64(10 * time.Millisecond), Max: int64(400 * time.Millisecond), Levels: LevelDefault,
		Reason: "Longest time between sending a command and its effect at a server that does not check tokens."},
	{Name: "max_clock_skew", Kind: KindDuration, Unit: "time", Scope: ScopeControl, Default: "2s", Min: int64(100 * time.Millisecond), Max: int64(30 * time.Second), Levels: LevelDefault,
		Reason: "Largest difference between the clocks of a caller and an instance when the age of a request ID is judged."},
	{Name: "record_limit", Kind: KindInteger, Unit: "records per shard", Scope: ScopeControl, Default: "100000", Min: 1000, Max: 1000000, Levels: LevelDefault,
		Reason: "Request records that one instance keeps per shard. At about 200 B each, 100,000 take 20 MB of the 64 MB of control memory."},
	{Name: "answer_limit", Kind: KindInteger, Unit: "bytes", Scope: ScopeControl, Default: "16384", Min: 0, Max: 1 << 18, Levels: LevelDefault,
		Reason: "Longest response body that a request record keeps for resends."},
	{Name: "max_moves", Kind: KindInteger, Unit: "ranges/s per shard", Scope: ScopeControl, Default: "2", Min: 1, Max: 64, Levels: LevelDefault,
		Reason: "Planned moves of ranges; ranges of servers that are lost or out are not limited."},
	{Name: "exchange_interval", Kind: KindDuration, Unit: "time", Scope: ScopeControl, Default: "1s", Min: int64(200 * time.Millisecond), Max: int64(1500 * time.Millisecond), Levels: LevelDefault,
		Reason: "Interval of exchanges with one random peer. 930 instances are reached in about 10 exchanges, so 1.5 s still keeps the 18 s of the design target."},
	{Name: "quarantine_time", Kind: KindDuration, Unit: "time", Scope: ScopeControl, Default: "10m", Min: int64(10 * time.Second), Max: int64(24 * time.Hour), Levels: LevelDefault,
		Reason: "How long a request that has crashed two servers is refused."},

	{Name: "from", Kind: KindKey, Unit: "key", Scope: ScopeIdentity, Levels: LevelRange,
		Reason: "First key of the range, in byte order. Without it the range starts at the lowest key."},
	{Name: "to", Kind: KindKey, Unit: "key", Scope: ScopeIdentity, Levels: LevelRange,
		Reason: "First key after the range, in byte order. Without it the range has no upper end."},
	{Name: "region", Kind: KindName, Unit: "", Scope: ScopeIdentity, Levels: LevelDomain, Required: true,
		Reason: "Region of the failure domain. Witnesses of a shard are in the region of most of its servers."},
	{Name: "service", Kind: KindName, Unit: "", Scope: ScopeIdentity, Levels: LevelServer, Required: true,
		Reason: "Service that the server belongs to."},
	{Name: "domain", Kind: KindName, Unit: "", Scope: ScopeIdentity, Levels: LevelServer, Required: true,
		Reason: "Failure domain that the server is in."},
	{Name: "address", Kind: KindAddress, Unit: "", Scope: ScopeIdentity, Levels: LevelServer, Required: true,
		Reason: "Where the server accepts requests and grants."},
	{Name: "shard", Kind: KindInteger, Unit: "index", Scope: ScopeIdentity, Min: 0, Max: 255, Levels: LevelServer,
		Reason: "Shard that the server works for. Default: rendezvous hash of the server's name over the shards of its service."},
	{Name: "key_digests", Kind: KindKeyDigests, Unit: "", Scope: ScopeIdentity, Levels: LevelTeam,
		Reason: "SHA-256 of each key of the team, so that no key stands in the settings. A team without keys is valid: all may have been withdrawn."},
	{Name: "team_priority", Kind: KindInteger, Unit: "rank", Scope: ScopeIdentity, Min: 0, Max: 9, Levels: LevelTeam,
		Reason: "Goes before the priority of the request, which decides between teams of one rank; 9 is served first. Without it, and for anonymous requests, the priority of the request takes its place."},
	{Name: "retired", Kind: KindInstanceList, Unit: "", Scope: ScopeIdentity, Levels: LevelInstances,
		Reason: "Instances that are gone for good and count as such when a shard has lost the majority of its witnesses. The incarnation is required, so that a replacement of the same name is not retired."},
}

// specByName indexes specs by Spec.Name.
var specByName = indexSpecs()

func indexSpecs() map[string]*Spec {
	index := make(map[string]*Spec, len(specs))
	for i := range specs {
		index[specs[i].Name] = &specs[i]
	}
	return index
}

// Specs returns the declarations of all settings.
func Specs() []Spec {
	return slices.Clone(specs)
}

// settingNamesAt returns the names of the settings that a section of the level may set.
func settingNamesAt(level Level) []string {
	var names []string
	for _, s := range specs {
		if s.Levels&level != 0 {
			names = append(names, s.Name)
		}
	}
	return names
}
