package membudget

import "context"

type contextKey struct{}

// NewContext returns a context that carries the holding of the connection for which its
// requests run.
func NewContext(ctx context.Context, h *Holding) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the holding that ctx carries, or nil.
func FromContext(ctx context.Context) *Holding {
	h, _ := ctx.Value(contextKey{}).(*Holding)
	return h
}
