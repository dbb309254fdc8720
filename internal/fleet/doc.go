// Package fleet defines the data that an instance routes requests by: routes,
// services, backend servers, and failure domains taken out of service. Values are
// immutable once published. The package does no I/O.
package fleet
