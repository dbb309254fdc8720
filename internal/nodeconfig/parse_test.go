package nodeconfig

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const good = `
[instance]
name = entry-1
domain = kyu-kita
region = kyushu
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
operators = 127.0.0.1:8082
[platform]
store = http://127.0.0.1:7100
instances = http://127.0.0.1:7100
[peers]
addresses = 127.0.0.1:8091, 127.0.0.1:8101
`

func TestParse(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(good), "instance.ini")
	is.NoErr(err)
	is.Equal(c.Instance, Instance{Name: "entry-1", Domain: "kyu-kita", Region: "kyushu"})
	is.Equal(c.Peers.Addresses, []string{"127.0.0.1:8091", "127.0.0.1:8101"})
	is.Equal(c.Listen.Operators, "127.0.0.1:8082")
}

// Guards against an example file with which a process does not start.
func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	_, err := Load("../../examples/instance.ini")
	is.NoErr(err)
}

// Guards against invalid input that is accepted, or rejected without its place or a
// remedy.
func TestParseRejects(t *testing.T) {
	cases := []struct {
		name, from, to string
		want           []string
	}{
		{"no name", "name = entry-1", "", []string{"[instance] name", "is missing"}},
		{"bad name", "entry-1", "Entry 1", []string{`name = "Entry 1"`, "lower-case"}},
		{"bad address", "127.0.0.1:8081", "127.0.0.1", []string{`peers = "127.0.0.1"`, "host:port"}},
		{"bad port", "127.0.0.1:8081", "127.0.0.1:70000", []string{"0 to 65535"}},
		{"bad URL", "store = http://127.0.0.1:7100", "store = 127.0.0.1", []string{`store = "127.0.0.1"`, "set a URL"}},
		{"bad peer", "127.0.0.1:8101", "x", []string{`"x"`, "separated by commas"}},
		{"unknown setting", "[peers]", "[peers]\nadresses = 1", []string{`adresses = "1"`, "no such setting", "[peers] addresses"}},
		{"unknown section", "[peers]", "[peer]", []string{"[peer] addresses", "no such setting"}},
		{"twice", "region = kyushu", "region = kyushu\nregion = kyushu", []string{"more than once"}},
		{"no delimiter", "region = kyushu", "region", []string{"not readable as INI"}},
		{"two problems", "region = kyushu\n[listen]", "[listen]\npeer = 1", []string{"region", "is missing", `peer = "1"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)), "instance.ini")
			if err == nil {
				t.Fatal("accepted")
			}
			for _, part := range append(c.want, "instance.ini: ") {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error does not contain %q:\n%v", part, err)
				}
			}
		})
	}
}
