package responsehead

import "fmt"

// FieldNameError means that the head of a response has a byte that the name of a header field
// cannot have, such as a blank, where such a name must be.
type FieldNameError struct {
	Byte byte
}

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("the byte 0x%02x is not allowed in the name of a header field (RFC 9110, section 5.1); correct the server or the proxy before it", e.Byte)
}
