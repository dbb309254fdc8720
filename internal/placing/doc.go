// Package placing schedules requests onto backend servers: it assigns each
// attempt to a server, queues it or refuses it. It runs at the holder on behalf
// of all instances, so that the limits on slots, cold starts and retries hold
// exactly over the whole fleet. The package is pure: time is passed as an
// argument, and there is no I/O.
package placing
