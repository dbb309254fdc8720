package payload

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBodyMatchesItsRequestID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		size := rapid.IntRange(0, 300).Draw(t, "size")
		if err := Check(id, size, Make(id, size)); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that accepts a truncated, damaged or other request's body.
func TestCheckFindsDamage(t *testing.T) {
	is := is.New(t)
	body := Make("a", 100)
	is.True(Check("b", 100, body) != nil)
	is.True(Check("a", 100, body[:99]) != nil)
	is.True(Check("a", 99, body[:99]) != nil)
	is.True(Check("a", 100, append(Make("a", 50), Make("a", 50)...)) != nil)
	is.True(Check("a", 100, nil) != nil)
	for i := range body {
		damaged := append([]byte{}, body...)
		damaged[i] ^= 1
		is.True(Check("a", 100, damaged) != nil)
	}
}
