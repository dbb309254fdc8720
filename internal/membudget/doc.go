// Package membudget keeps the account of the memory that an instance holds for all its
// connections together, and decides who may hold more and whose connection is ended when
// the memory is used up. It does no I/O.
package membudget
