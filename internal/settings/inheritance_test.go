package settings

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceTree is a simple model of the tree: plain maps that are searched level by
// level on each lookup.
type referenceTree map[string]map[string]string

// drawTree returns the text of a random tree and its model. Each key range covers
// keys of one initial letter, so that ranges never overlap.
func drawTree(rt *rapid.T) (string, referenceTree) {
	reference := referenceTree{}
	set := func(section, key, value string) {
		if reference[section] == nil {
			reference[section] = map[string]string{}
		}
		if key != "" {
			reference[section][key] = value
		}
	}
	setSome := func(section string, keys ...string) {
		for _, key := range keys {
			if rapid.Bool().Draw(rt, section+key) {
				set(section, key, drawValue(rt, key))
			}
		}
	}
	set("DEFAULT", "", "")
	setSome("DEFAULT", "timeout", "priority", "queue_limit", "hedge", "retry_limit", "slots")
	for _, domain := range []string{"d1", "d2"} {
		set("domain."+domain, "region", "r")
		setSome("domain."+domain, "state")
	}
	port := 0
	for _, service := range []string{"s1", "s2"} {
		set("service."+service, "", "")
		setSome("service."+service, "timeout", "priority", "retry_limit", "slots", "state")
		for _, domain := range []string{"d1", "d2"} {
			parent := "service." + service + "." + domain
			setSome(parent, "timeout", "queue_limit", "hedge", "slots", "state")
			for _, letter := range []string{"f", "m"} {
				if rapid.Bool().Draw(rt, parent+letter) {
					set(parent+"."+letter, "from", letter)
					set(parent+"."+letter, "to", letter+"~")
					setSome(parent+"."+letter, "timeout", "priority", "hedge")
				}
			}
			port++
			server := "server." + service + "-" + domain
			set(server, "service", service)
			set(server, "domain", domain)
			set(server, "address", "h:"+strconv.Itoa(port))
			setSome(server, "slots", "state")
		}
	}
	return reference.text(), reference
}

func drawValue(rt *rapid.T, key string) string {
	switch key {
	case "timeout":
		return strconv.Itoa(rapid.IntRange(1, 60).Draw(rt, key)) + "s"
	case "hedge":
		return strconv.FormatBool(rapid.Bool().Draw(rt, key))
	case "state":
		return rapid.SampledFrom([]string{"in", "out"}).Draw(rt, key)
	}
	return strconv.Itoa(rapid.IntRange(1, 5).Draw(rt, key))
}

func (n referenceTree) text() string {
	var b strings.Builder
	for section, values := range n {
		fmt.Fprintf(&b, "[%s]\n", section)
		for key, value := range values {
			fmt.Fprintf(&b, "%s = %s\n", key, value)
		}
	}
	return b.String()
}

// firstValue returns the value of the first of the sections that sets key.
func (n referenceTree) firstValue(key, builtIn string, sections ...string) string {
	for _, s := range sections {
		if value, ok := n[s][key]; ok {
			return value
		}
	}
	return builtIn
}

func (n referenceTree) request(service, domain, key string) RequestPolicy {
	sections := []string{"service." + service + "." + domain, "service." + service, "DEFAULT"}
	for _, letter := range []string{"f", "m"} {
		name := "service." + service + "." + domain + "." + letter
		if n[name] != nil && key >= letter && key < letter+"~" {
			sections = append([]string{name}, sections...)
		}
	}
	number := func(key, builtIn string) int {
		value, _ := strconv.Atoi(n.firstValue(key, builtIn, sections...))
		return value
	}
	timeout, _ := time.ParseDuration(n.firstValue("timeout", "10s", sections...))
	return RequestPolicy{
		Timeout: timeout, IdleTimeout: 5 * time.Second, Priority: number("priority", "5"),
		QueueLimit: number("queue_limit", "64"), Hedge: n.firstValue("hedge", "true", sections...) == "true",
		RetryLimit: number("retry_limit", "2"), RecordRetention: 2 * time.Minute,
	}
}

func (n referenceTree) server(service, domain string) (slots int, in bool) {
	own, serviceDomain := "server."+service+"-"+domain, "service."+service+"."+domain
	slots, _ = strconv.Atoi(n.firstValue("slots", "3", own, serviceDomain, "service."+service, "DEFAULT"))
	in = true
	for _, s := range []string{own, serviceDomain, "service." + service, "domain." + domain} {
		in = in && n[s]["state"] != "out"
	}
	return slots, in
}

// Guards against inheritance that differs from a lookup level by level, and against
// Effective showing a value other than the one in use.
func TestInheritanceMatchesNaiveLookup(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text, reference := drawTree(rt)
		tree, err := Parse(text, "drawn.ini")
		if err != nil {
			rt.Fatal(err)
		}
		service := rapid.SampledFrom([]string{"s1", "s2"}).Draw(rt, "service")
		domain := rapid.SampledFrom([]string{"d1", "d2"}).Draw(rt, "domain")
		key := rapid.StringMatching(`[e-n][a-z~]{0,2}`).Draw(rt, "key")
		if got, want := tree.RequestPolicy(service, domain, key), reference.request(service, domain, key); got != want {
			rt.Fatalf("key %q of %s in %s:\ngot  %+v\nwant %+v\n%s", key, service, domain, got, want, text)
		}
		slots, in := reference.server(service, domain)
		policy := tree.ServerPolicy(service + "-" + domain)
		if policy.Slots != slots || policy.InService != in || (policy.OutOfServiceBy == "") != in {
			rt.Fatalf("server of %s in %s: got %+v, want %d slots, in %v\n%s", service, domain, policy, slots, in, text)
		}
		checkEffective(rt, tree, reference, service, domain)
	})
}

func checkEffective(rt *rapid.T, tree *Tree, reference referenceTree, service, domain string) {
	values, err := tree.Effective("service." + service + "." + domain)
	if err != nil {
		rt.Fatal(err)
	}
	for _, v := range values {
		if v.Level == BuiltInLevel || v.Name == "state" {
			continue
		}
		if reference[v.Level][v.Name] != v.Value {
			rt.Fatalf("%s = %s differs from the value in [%s]", v.Name, v.Value, v.Level)
		}
		want := reference.firstValue(v.Name, "", "service."+service+"."+domain, "service."+service, "DEFAULT")
		if v.Value != want {
			rt.Fatalf("%s = %s, want %s", v.Name, v.Value, want)
		}
	}
}
