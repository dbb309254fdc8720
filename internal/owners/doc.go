// Package owners keeps which backend server holds which keys, plans moves, and
// says which orders to send next. A key moves only after its last owner has
// given it up, or its hold has provably ended. It is pure: time comes as an
// argument, and sending orders and storing the record is the caller's part.
package owners
