package fleet

// ranksPerTeamPriority is the number of ranks of routes within a priority of teams. Lower
// ranks of routes share the last one.
const ranksPerTeamPriority = 1024

// Rank returns the priority class of a request; 0 is the highest. The priority of the team,
// nil for an anonymous request, goes before that of the route. Without teams in the
// configuration it is the priority of the route.
func (c *Config) Rank(team *Team, route *Route) int {
	if c.Teams == nil {
		return route.Priority
	}
	first := route.Priority
	if team != nil && team.HasPriority {
		first = team.Priority
	}
	return first*ranksPerTeamPriority + min(route.Priority, ranksPerTeamPriority-1)
}
