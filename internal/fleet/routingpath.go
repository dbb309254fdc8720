package fleet

import "strings"

// RoutingPath returns the path that routes are matched against, for a path as it is sent,
// in its escaped form. Escaped characters are the same as unescaped ones (RFC 3986, section
// 2.3), but for the slash and the percent sign: an escaped slash is part of a name and
// divides nothing. An invalid escape is kept as it is.
func RoutingPath(escaped string) string {
	if !strings.Contains(escaped, "%") {
		return escaped
	}
	var out strings.Builder
	for i := 0; i < len(escaped); i++ {
		if escaped[i] != '%' || i+2 >= len(escaped) || !isHex(escaped[i+1]) || !isHex(escaped[i+2]) {
			out.WriteByte(escaped[i])
			continue
		}
		switch c := unhex(escaped[i+1])<<4 | unhex(escaped[i+2]); c {
		case '/', '%':
			out.WriteString(strings.ToUpper(escaped[i : i+3]))
		default:
			out.WriteByte(c)
		}
		i += 2
	}
	return out.String()
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f'
}

func unhex(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c | 0x20 - 'a' + 10
}
