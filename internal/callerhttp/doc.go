// Package callerhttp serves HTTP/1.1 connections of callers. Unlike net/http's
// server it runs pipelined requests side by side, answers them in order, and
// notices at once when a caller leaves. Parsing is net/http's.
package callerhttp
