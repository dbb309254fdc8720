// Package connbound bounds the open connections of a listener, so that clients that are not
// controlled cannot use up the descriptors of the process.
package connbound
