package gateway

// memoryTaker is a body source that takes memory for what is buffered of it. Without
// memory, the rest of the body is streamed.
type memoryTaker interface {
	TakeMemory(n int64) bool
}
