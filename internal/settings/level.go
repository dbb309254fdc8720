package settings

// Level is the kind of section that a value comes from.
type Level uint8

// The levels, as bits so that a Spec can name several.
const (
	LevelBuiltIn       Level = 0
	LevelDefault       Level = 1 << iota // [DEFAULT]
	LevelService                         // [service.NAME]
	LevelServiceDomain                   // [service.NAME.DOMAIN]
	LevelRange                           // [service.NAME.DOMAIN.RANGE]
	LevelDomain                          // [domain.NAME]
	LevelServer                          // [server.NAME]
	LevelInstances                       // [instances]
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
}

// Forms returns the section forms that the bits of l stand for.
func (l Level) Forms() []string {
	var forms []string
	for _, f := range levelForms {
		if l&f.level != 0 {
			forms = append(forms, f.form)
		}
	}
	return forms
}
