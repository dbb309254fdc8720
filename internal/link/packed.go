package link

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// maxUnpacked bounds the size of packed facts, like that of a message of a link. Decoded, short
// servers take many times their encoded size, and the smallest instances have 144 MB. A part of
// a listing has some 20 KB, and the facts of 3,006 servers have some 400 KB.
const maxUnpacked = 4 << 20

// minPacked is the size in bytes from which facts are sent in compressed form: the owners of more
// than 500 ranges, or some 200 servers.
const minPacked = 16 << 10

// PackLarge returns the facts in compressed form if they are large. It must not be used for a
// follower that gets a listing in parts, which are counted as packed facts. The number of
// instances stays readable without unpacking.
func PackLarge(f *linkpb.Facts) *linkpb.Facts {
	if proto.Size(f) < minPacked {
		return f
	}
	packed, err := pack(f)
	if err != nil {
		return f // whoever encodes it gets the error
	}
	packed.Instances, packed.Strongest = f.Instances, f.Strongest
	return packed
}

// pack returns facts that have the given ones in compressed form.
func pack(f *linkpb.Facts) (*linkpb.Facts, error) {
	text, err := proto.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode facts")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err == nil {
		_, err = w.Write(text)
	}
	if err == nil {
		err = w.Close()
	}
	return &linkpb.Facts{Packed: out.Bytes()}, errors.Wrap(err, "compress facts")
}

// unpack returns facts with the fields that are packed in f. It does not change f.
func unpack(f *linkpb.Facts) (*linkpb.Facts, error) {
	if len(f.Packed) == 0 {
		return f, nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(f.Packed)), maxUnpacked))
	if err == nil && len(text) == maxUnpacked {
		err = errors.New("too large")
	}
	if err != nil {
		return nil, errors.Wrap(err, "decompress facts")
	}
	out := &linkpb.Facts{}
	return out, errors.Wrap(proto.Unmarshal(text, out), "decode packed facts")
}
