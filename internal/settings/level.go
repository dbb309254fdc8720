package settings

// Level is a kind of section, or a set of them.
type Level uint16

// Levels are bit flags so that a Spec can list several.
const (
	LevelBuiltIn       Level = 0
	LevelDefault       Level = 1 << iota // [DEFAULT]
	LevelService                         // [service.NAME]
	LevelServiceDomain                   // [service.NAME.DOMAIN]
	LevelRange                           // [service.NAME.DOMAIN.RANGE]
	LevelDomain                          // [domain.NAME]
	LevelServer                          // [server.NAME]
	LevelInstances                       // [instances]
	LevelTeam                            // [team.NAME]
)

var levelForms = []struct {
	level Level
	form  string
}{
	{LevelDefault, "[DEFAULT]"},
	{LevelService, "[service.NAME]"},
	{LevelServiceDomain, "[service.NAME.DOMAIN]"},
	{LevelRange, "[service.NAME.DOMAIN.RANGE]"},
	{LevelDomain, "[domain.NAME]"},
	{LevelServer, "[server.NAME]"},
	{LevelInstances, "[instances]"},
	{LevelTeam, "[team.NAME]"},
}

// Forms returns the forms of the section headers of all levels in l.
func (l Level) Forms() []string {
	var forms []string
	for _, f := range levelForms {
		if l&f.level != 0 {
			forms = append(forms, f.form)
		}
	}
	return forms
}
