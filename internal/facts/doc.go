// Package facts holds what an instance knows about the configuration, the backend
// servers and the owners of keys, and publishes it as one immutable snapshot.
// Updates come from the holder or from the store. The newer one applies.
package facts
