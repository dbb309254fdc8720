package settings

import (
	"fmt"
	"slices"
)

// CheckTransition checks the change from the accepted tree to its successor. A non-nil
// error is of type Issues and lists all problems. If old is nil, every change is
// permitted. The rules prevent two instances on different versions from both
// granting the same key: settings that determine ownership may only change while the
// service or server is out of service in both trees, when nothing there has an owner.
func CheckTransition(old, next *Tree) error {
	if old == nil {
		return nil
	}
	c := transitionCheck{old: old, next: next}
	c.checkServices()
	c.checkServers()
	c.checkPromiseTimes()
	return c.issues.errorOrNil()
}

// NeedsOldInEffect reports whether the change from old to next must wait until old
// is in effect at every instance. This is the case if the change is only allowed because
// old has a service or server out of service: an instance that still runs an earlier
// version may have it in service.
func NeedsOldInEffect(old, next *Tree) bool {
	if old == nil {
		return false
	}
	return slices.ContainsFunc(old.Services(), func(name string) bool { return serviceOwnershipChanged(old, next, name) }) ||
		slices.ContainsFunc(old.Servers(), func(s Server) bool { return serverOwnershipChanged(s, next) }) ||
		promiseTimesChanged(old, next)
}

// transitionCheck collects the issues of one change.
type transitionCheck struct {
	old, next *Tree
	issues    Issues
}

func (c *transitionCheck) addIssue(section, key, value, reason, remedy string) {
	issue := Issue{File: c.next.FileName(), Section: section, Key: key, Value: value, Reason: reason, Remedy: remedy}
	if s := c.next.doc.sections[section]; s != nil {
		issue.Line = s.lines[key]
	}
	c.issues = append(c.issues, issue)
}

// serviceOwnershipChanged reports whether a service is removed or changes settings that
// determine the owners of its keys.
func serviceOwnershipChanged(old, next *Tree, name string) bool {
	before := old.services[name]
	after := next.services[name]
	return after == nil || before.Shards != after.Shards || before.Keyed != after.Keyed
}

func (c *transitionCheck) checkServices() {
	for _, name := range c.old.Services() {
		before, after := c.old.services[name], c.next.services[name]
		if !serviceOwnershipChanged(c.old, c.next, name) || before.OutOfService && (after == nil || after.OutOfService) {
			continue
		}
		section, remedy := serviceSection(name), c.takeOutOfServiceFirst("service", name)
		switch {
		case after == nil:
			c.addIssue(section, "", "", "the service is removed while it is in", remedy)
		case before.Shards != after.Shards:
			c.addIssue(section, "shards", fmt.Sprint(after.Shards), fmt.Sprintf("the number of shards changes from %d while the service is in", before.Shards), remedy)
		default:
			c.addIssue(section, "keyed", fmt.Sprint(after.Keyed), "keyed changes while the service is in", remedy)
		}
	}
}

// takeOutOfServiceFirst returns the remedy for a change that needs the section out of
// service.
func (c *transitionCheck) takeOutOfServiceFirst(kind, name string) string {
	return fmt.Sprintf("apply state = out in [%s.%s] first, wait until it is in effect everywhere, apply this change with the %s still out, then bring it back", kind, name, kind)
}

// serverOwnershipChanged reports whether a server is removed or changes settings that
// determine what it owns and where it is reached.
func serverOwnershipChanged(before Server, next *Tree) bool {
	after, ok := next.Server(before.Name)
	return !ok || before.Service != after.Service || before.Domain != after.Domain || before.Address != after.Address || before.Shard != after.Shard
}

func (c *transitionCheck) checkServers() {
	for _, before := range c.old.Servers() {
		after, exists := c.next.Server(before.Name)
		if !serverOwnershipChanged(before, c.next) || !before.Policy.InService && !after.Policy.InService {
			continue
		}
		key, value, reason := describeServerChange(before, after, exists)
		c.addIssue(serverSection(before.Name), key, value, reason+" while the server is in", c.takeOutOfServiceFirst("server", before.Name))
	}
}

// describeServerChange returns the key, new value and description of the first change
// that needs the server out of service.
func describeServerChange(before, after Server, exists bool) (key, value, reason string) {
	switch {
	case !exists:
		return "", "", "the server is removed"
	case before.Service != after.Service:
		return "service", after.Service, fmt.Sprintf("the service changes from %q", before.Service)
	case before.Shard != after.Shard:
		return "shard", fmt.Sprint(after.Shard), fmt.Sprintf("the shard changes from %d", before.Shard)
	case before.Domain != after.Domain:
		return "domain", after.Domain, fmt.Sprintf("the failure domain changes from %q", before.Domain)
	}
	return "address", after.Address, fmt.Sprintf("the address changes from %q", before.Address)
}

// promiseTimesChanged reports whether a time changes that all instances must agree on:
// the witness computes the end of its promise, and the holder the end of its tenure, each
// from its own settings.
func promiseTimesChanged(old, next *Tree) bool {
	a, b := old.control, next.control
	return a.PromiseTTL != b.PromiseTTL || a.MaxDeliveryTime != b.MaxDeliveryTime
}

func (c *transitionCheck) checkPromiseTimes() {
	if !promiseTimesChanged(c.old, c.next) {
		return
	}
	for _, t := range []*Tree{c.old, c.next} {
		for _, name := range t.Services() {
			if !t.services[name].OutOfService {
				key, value := "promise_ttl", shortDuration(c.next.control.PromiseTTL)
				if c.old.control.PromiseTTL == c.next.control.PromiseTTL {
					key, value = "max_delivery", shortDuration(c.next.control.MaxDeliveryTime)
				}
				c.addIssue(defaultSection, key, value, fmt.Sprintf("the time changes while service %q is in", name), "take every service out first, wait until that is in effect everywhere, apply this change with all still out, then bring them back")
				return
			}
		}
	}
}
