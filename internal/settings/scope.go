package settings

// Scope says what a setting applies to and how it resolves.
type Scope string

// The scopes.
const (
	ScopeRequest  Scope = "request"  // resolves with the entry's failure domain and the key
	ScopeServer   Scope = "server"   // resolves with the server's failure domain
	ScopeService  Scope = "service"  // one value per service
	ScopeControl  Scope = "control"  // one value for the whole system
	ScopeIdentity Scope = "identity" // describes the section itself and is not inherited
)
