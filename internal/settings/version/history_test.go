package version

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings/settingstest"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against past versions that can no longer be read.
func TestHistory(t *testing.T) {
	is := is.New(t)
	s := settingstest.NewStore()
	for i := range 5 {
		mustApply(t, s, proposal(fmt.Sprintf("[DEFAULT]\npriority = %d\n", i), "aoi", uint64(i)))
	}
	versions, err := History(t.Context(), s, 3)
	is.NoErr(err)
	is.Equal(len(versions), 3)
	is.Equal(versions[0].Number, uint64(5))
	is.Equal(versions[2].Number, uint64(3))
	all, err := History(t.Context(), s, 100)
	is.NoErr(err)
	is.Equal(len(all), 5)
	_, err = Get(t.Context(), s, 6)
	is.True(errors.Is(err, store.ErrNotFound))
}

// Guards against decoding an invalid stored value as a version.
func TestDecodeRefuses(t *testing.T) {
	v := proposal(textOut, "aoi", 0).newVersion()
	good, err := Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(good)
	if err != nil || back != v {
		t.Fatalf("got %+v, %v; want %+v", back, err, v)
	}
	cases := map[string]func(*Version){
		"no number":        func(v *Version) { v.Number = 0 },
		"parent not lower": func(v *Version) { v.Parent = 1 },
		"no write ID":      func(v *Version) { v.WriteID = "" },
		"other text":       func(v *Version) { v.Text += " " },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			bad := v
			change(&bad)
			value, err := Encode(bad)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Decode(value); !errors.Is(err, ErrCorrupt) {
				t.Errorf("got %v, want ErrCorrupt", err)
			}
		})
	}
	if _, err := Decode(good[:len(good)/2]); !errors.Is(err, ErrCorrupt) {
		t.Errorf("truncated value: got %v, want ErrCorrupt", err)
	}
}

// Guards against too large values that are only refused by the store after the operator
// has waited.
func TestEncodeRefusesTooLarge(t *testing.T) {
	v := proposal(string(make([]byte, store.MaxValueBytes)), "aoi", 0).newVersion()
	if _, err := Encode(v); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}
