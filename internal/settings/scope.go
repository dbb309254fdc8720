package settings

// Scope is what a setting applies to; it determines the inheritance chain.
type Scope string

const (
	ScopeRequest  Scope = "request"  // depends on the key and the failure domain of the entry instance
	ScopeServer   Scope = "server"   // depends on the server and its failure domain
	ScopeService  Scope = "service"  // one value per service
	ScopeControl  Scope = "control"  // one value for the whole system
	ScopeIdentity Scope = "identity" // describes the section itself and is not inherited
)
