package settings

// resolvedValue is one value and the name of the section that sets it; the name is
// empty for built-in defaults.
type resolvedValue struct {
	text    string
	section string
}

// requestChain returns the inheritance chain of request-scoped settings. domain and
// rangeName may be empty.
func (d *document) requestChain(service, domain, rangeName string) chain {
	var c chain
	if rangeName != "" {
		c = append(c, d.sections[serviceDomainSection(service, domain)+"."+rangeName])
	}
	if domain != "" {
		c = append(c, d.sections[serviceDomainSection(service, domain)])
	}
	return append(c, d.sections[serviceSection(service)], d.sections[defaultSection])
}

// serverChain returns the inheritance chain of server-scoped settings.
func (d *document) serverChain(server, service, domain string) chain {
	return chain{
		d.sections[serverSection(server)],
		d.sections[serviceDomainSection(service, domain)],
		d.sections[serviceSection(service)],
		d.sections[defaultSection],
	}
}

// defaultChain returns the chain that consists of [DEFAULT] alone.
func (d *document) defaultChain() chain {
	return chain{d.sections[defaultSection]}
}

// outOfServiceBy returns the name of the least specific section that takes the
// server out of service, or "" if it is in service.
func (d *document) outOfServiceBy(server, service, domain string) string {
	names := []string{
		serviceSection(service),
		domainSection(domain),
		serviceDomainSection(service, domain),
		serverSection(server),
	}
	for _, name := range names {
		if s := d.sections[name]; s.has("state") && s.values["state"] == stateOut {
			return name
		}
	}
	return ""
}
