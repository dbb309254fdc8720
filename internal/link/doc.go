// Package link connects instances to the holder over drpc. Instances send attempts
// to schedule and the completion of attempts; the holder sends decisions and facts.
// The package converts between the messages and the types of packages facts, owners
// and placing, and makes no decisions itself.
package link
