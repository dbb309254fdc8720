// Package facts keeps what an instance knows of configuration, backend servers
// and owners of keys, and publishes it as one immutable view. News comes from
// the holder or from the store; the newer one wins.
package facts
