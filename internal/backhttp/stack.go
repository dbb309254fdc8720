package backhttp

import "sync/atomic"

// stack is a lock-free stack of idle connections. The most recently used connection is
// taken first, so that surplus ones reach their idle timeout and are closed.
type stack struct {
	head atomic.Pointer[stackNode]
}

func (s *stack) push(c *conn) {
	node := &stackNode{conn: c}
	for {
		node.next = s.head.Load()
		if s.head.CompareAndSwap(node.next, node) {
			return
		}
	}
}

func (s *stack) pop() *conn {
	for {
		node := s.head.Load()
		if node == nil {
			return nil
		}
		if s.head.CompareAndSwap(node, node.next) {
			return node.conn
		}
	}
}
