// Package report joins the records that instances write and reconstructs what happened to
// each request. It does no input or output: package decode reads the lines and package
// command prints the results. Where records are missing it says so and claims nothing.
package report
