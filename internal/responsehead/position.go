package responsehead

// position is where in a response the next byte is.
type position uint8

const (
	// inVersion is in the status line, before the first space.
	inVersion position = iota
	// atStatus is before the first digit of the status.
	atStatus
	// inLine is in the part of a line that is not checked.
	inLine
	atLineStart
	// inName is in the name of a field, behind its first byte.
	inName
	// inLastLine is between the carriage return and the line feed of an empty line.
	inLastLine
	// done is behind the head of the final response.
	done
)
