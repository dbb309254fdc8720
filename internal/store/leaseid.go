package store

// LeaseID names a lease of the store.
type LeaseID string
