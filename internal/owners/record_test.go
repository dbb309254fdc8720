package owners

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// A successor that started after a server was unlisted must find its address in the
// record, or it could not send orders to it.
func TestRecordListsAllIncarnations(t *testing.T) {
	is := is.New(t)
	r := Record{Epoch: 3, Holder: "h", Instances: 12, Services: map[string][]RecordRange{
		"s": {{From: 0, To: 9, Owner: "a", StartMS: 1, Previous: "b", PreviousStartMS: 2}}}}
	r.Addresses = map[string]string{}
	for i := range r.Incarnations() {
		r.Addresses[i.String()] = i.Name + ":1"
	}
	text, err := r.Encode()
	is.NoErr(err)
	read, err := DecodeRecord(text)
	is.NoErr(err)
	is.Equal(read.Addresses[fleet.Incarnation{Name: "a", StartMS: 1}.String()], "a:1")
	is.Equal(read.Addresses[fleet.Incarnation{Name: "b", StartMS: 2}.String()], "b:1")
	is.Equal(read.Instances, 12)
}

// FuzzDecodeRecord checks that no stored record makes the holder panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"holder":"h","services":{"s":[{"from":0,"to":65535,"owner":"a","born":1,"fence":5}]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := DecodeRecord(text); err == nil {
			r.OwnedRanges()
			r.Incarnations()
		}
	})
}
