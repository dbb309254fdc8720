package decode

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// BenchmarkReadRecords measures the decoding of the records of one instance.
func BenchmarkReadRecords(b *testing.B) {
	is := is.New(b)
	text, err := os.ReadFile("../command/testdata/sample/entry-kyu-naka.records")
	is.NoErr(err)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, bad, err := ReadRecords("sample", strings.NewReader(string(text)))
		is.NoErr(err)
		is.Equal(len(bad), 0)
	}
}
