package router

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/authority"
)

func member(name, domain string) authority.Member {
	return authority.Member{Instance: authority.Instance{Name: name, Incarnation: "1"}, Domain: domain}
}

// Guards against a shard without mirrors while another instance is live. When one of
// three instances was lost, the holder was the only witness left, and every
// non-idempotent request was refused.
func TestMirrorCandidates(t *testing.T) {
	self := member("a", "kita")
	witnesses := &authority.WitnessConfig{Witnesses: []authority.Member{self, member("d", "naka"), member("e", "minami")}}
	cases := []struct {
		name   string
		config *authority.WitnessConfig
		live   []authority.Member
		want   []string
	}{
		{"witnesses first, one of each domain", witnesses, []authority.Member{member("b", "naka"), member("c", "minami"), member("d", "naka"), member("e", "minami")}, []string{"d", "e", "b", "c"}},
		{"only the holder is a witness", &authority.WitnessConfig{Witnesses: []authority.Member{self}}, []authority.Member{self, member("b", "naka")}, []string{"b"}},
		{"record not read yet", nil, []authority.Member{member("b", "naka")}, []string{"b"}},
		{"own domain last", witnesses, []authority.Member{member("f", "kita"), member("e", "minami")}, []string{"e", "f"}},
		{"incarnation not known yet", witnesses, []authority.Member{{Instance: authority.Instance{Name: "b"}, Domain: "naka"}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, i := range mirrorCandidates(c.config, self, c.live) {
				got = append(got, i.Name)
			}
			is.Equal(got, c.want)
		})
	}
}
