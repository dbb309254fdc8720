// Package report joins the records that instances write and explains from them
// what happened to each request. It is pure: package decode reads the lines and
// package command prints. Where records are missing it says so and claims nothing.
package report
