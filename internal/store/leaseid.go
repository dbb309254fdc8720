package store

// LeaseID identifies a lease in the store.
type LeaseID string
