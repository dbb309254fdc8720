package responsehead

// IsFinalStatus reports whether a final response may have the status (RFC 9110, section 15).
// net/http accepts any three digits.
func IsFinalStatus(status int) bool {
	return status >= 200 && status <= 599
}
