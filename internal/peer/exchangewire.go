package peer

import (
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

func exchangeRequestToWire(r exchange.Request) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		From:             instanceToWire(r.From),
		Domain:           r.Domain,
		Address:          r.Address,
		Leaving:          r.Leaving,
		SettingsVersion:  r.SettingsVersion,
		ShardDigest:      r.ShardDigest,
		QuarantineDigest: r.QuarantineDigest,
		Shards:           shardEntriesToWire(r.Shards),
		Quarantine:       marksToWire(r.Quarantine),
	}
}

func exchangeRequestFromWire(wire *peerpb.ExchangeRequest) (exchange.Request, error) {
	shards, err := shardEntriesFromWire(wire.Shards)
	return exchange.Request{
		From:    instanceFromWire(wire.From),
		Domain:  wire.Domain,
		Address: wire.Address,
		Leaving: wire.Leaving,
		Summary: exchange.Summary{
			SettingsVersion:  wire.SettingsVersion,
			ShardDigest:      wire.ShardDigest,
			QuarantineDigest: wire.QuarantineDigest,
		},
		Shards:     shards,
		Quarantine: marksFromWire(wire.Quarantine),
	}, err
}

func exchangeReplyToWire(r exchange.Reply) *peerpb.ExchangeReply {
	wire := &peerpb.ExchangeReply{
		From:             instanceToWire(r.From),
		Domain:           r.Domain,
		Leaving:          r.Leaving,
		SettingsVersion:  r.SettingsVersion,
		ShardDigest:      r.ShardDigest,
		QuarantineDigest: r.QuarantineDigest,
		Shards:           shardEntriesToWire(r.Shards),
		Quarantine:       marksToWire(r.Quarantine),
	}
	if r.Settings != nil {
		wire.Settings = &peerpb.SettingsValue{Version: r.Settings.Version, Value: r.Settings.Value}
	}
	return wire
}

func exchangeReplyFromWire(wire *peerpb.ExchangeReply) (exchange.Reply, error) {
	shards, err := shardEntriesFromWire(wire.Shards)
	r := exchange.Reply{
		From:    instanceFromWire(wire.From),
		Domain:  wire.Domain,
		Leaving: wire.Leaving,
		Summary: exchange.Summary{
			SettingsVersion:  wire.SettingsVersion,
			ShardDigest:      wire.ShardDigest,
			QuarantineDigest: wire.QuarantineDigest,
		},
		Shards:     shards,
		Quarantine: marksFromWire(wire.Quarantine),
	}
	if wire.Settings != nil {
		r.Settings = &exchange.SettingsValue{Version: wire.Settings.Version, Value: wire.Settings.Value}
	}
	return r, err
}

func shardEntriesToWire(entries []exchange.ShardEntry) []*peerpb.ShardEntry {
	wire := make([]*peerpb.ShardEntry, 0, len(entries))
	for _, e := range entries {
		wire = append(wire, &peerpb.ShardEntry{
			Shard:   e.Shard.String(),
			Token:   tokenToWire(e.Token),
			Holder:  instanceToWire(e.Holder),
			Address: e.Address,
		})
	}
	return wire
}

func shardEntriesFromWire(wire []*peerpb.ShardEntry) ([]exchange.ShardEntry, error) {
	entries := make([]exchange.ShardEntry, 0, len(wire))
	for _, w := range wire {
		shard, err := key.ParseShardID(w.Shard)
		if err != nil {
			return nil, errors.Wrap(err, "decode shard table")
		}
		entries = append(entries, exchange.ShardEntry{
			Shard:   shard,
			Token:   tokenFromWire(w.Token),
			Holder:  instanceFromWire(w.Holder),
			Address: w.Address,
		})
	}
	return entries, nil
}

func marksToWire(marks []exchange.QuarantineMark) []*peerpb.QuarantineEntry {
	wire := make([]*peerpb.QuarantineEntry, 0, len(marks))
	for _, m := range marks {
		wire = append(wire, &peerpb.QuarantineEntry{
			Fingerprint: m.Fingerprint,
			Service:     m.Service,
			Crashes:     int32(m.Crashes),
			RemainingMs: m.Remaining.Milliseconds(),
		})
	}
	return wire
}

func marksFromWire(wire []*peerpb.QuarantineEntry) []exchange.QuarantineMark {
	marks := make([]exchange.QuarantineMark, 0, len(wire))
	for _, w := range wire {
		marks = append(marks, exchange.QuarantineMark{
			Fingerprint: w.Fingerprint,
			Service:     w.Service,
			Crashes:     int(w.Crashes),
			Remaining:   time.Duration(w.RemainingMs) * time.Millisecond,
		})
	}
	return marks
}
