package backhttp

// stackNode is an element of a stack. It is immutable once it is on the stack.
type stackNode struct {
	conn *conn
	next *stackNode
}
