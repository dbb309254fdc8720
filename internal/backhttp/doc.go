// Package backhttp keeps HTTP/1.1 connections to backend servers, one request
// at a time on each. A connection that carried anything unexpected is closed
// and never used again. It knows no header that binds answers to requests: the
// caller passes a function that does.
package backhttp
