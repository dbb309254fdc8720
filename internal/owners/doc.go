// Package owners tracks which backend server owns which keys, plans moves, and
// determines the orders to send next. A key moves only after its previous owner
// has released it, or the grant to that owner has provably expired. The package
// does no I/O and reads no clock: the caller passes the time, sends the orders
// and stores the record.
package owners
