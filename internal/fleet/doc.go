// Package fleet holds the facts that an instance routes by: routes, services,
// backend servers and failure domains that are taken out. All values are
// immutable once published. It is pure.
package fleet
