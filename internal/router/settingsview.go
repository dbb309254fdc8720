package router

import (
	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/entry"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/publish"
	"peridotmoor.org/peridotmoor/internal/request"
)

// settingsView gives the entry and the forwarder access to the settings in effect.
type settingsView struct {
	publisher *publish.Publisher
	domain    string
}

// Lookup implements entry.Policies.
func (v *settingsView) Lookup(service, key string) (entry.Policy, bool) {
	installed := v.publisher.Settings()
	if installed == nil {
		// The readiness check after this call refuses the request.
		return entry.Policy{}, true
	}
	if _, known := installed.Tree.Service(service); !known {
		return entry.Policy{}, false
	}
	policy := installed.Tree.RequestPolicy(service, v.domain, key)
	return entry.Policy{Timeout: policy.Timeout, IdleTimeout: policy.IdleTimeout}, true
}

// Authenticate implements entry.Policies.
func (v *settingsView) Authenticate(shown credential.Credential, service string) (entry.Sender, bool) {
	installed := v.publisher.Settings()
	if installed == nil {
		return entry.Sender{}, false
	}
	return authenticate(installed.Tree, shown, service), true
}

// CheckSender implements forward.Services.
func (v *settingsView) CheckSender(r *request.Request) *problem.Problem {
	installed := v.publisher.Settings()
	if installed == nil {
		return nil // not so once there were settings
	}
	return checkSender(installed.Tree, r)
}

// ShardCount implements forward.Services.
func (v *settingsView) ShardCount(name string) (int, bool) {
	installed := v.publisher.Settings()
	if installed == nil {
		return 0, false
	}
	service, known := installed.Tree.Service(name)
	if !known {
		return 0, false
	}
	if service.OutOfService {
		return 0, true
	}
	return service.Shards, true
}
