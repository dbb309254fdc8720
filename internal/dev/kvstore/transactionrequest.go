package kvstore

// changeCall is a change under conditions.
type changeCall struct {
	Conditions []condition `json:"precondition"`
	Puts       []put       `json:"puts"`
}
