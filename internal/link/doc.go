// Package link joins instances to the holder over drpc: asks and results go up,
// facts and verdicts come down. It converts between the messages and the types
// of packages facts, owners and placing, and decides nothing.
package link
