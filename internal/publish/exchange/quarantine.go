package exchange

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMarks limits the table; at 64 bytes per mark it takes at most 256 KB.
	maxMarks = 4096
	// minRemaining is the remaining time below which a mark is no longer listed for
	// peers or accepted from them. Otherwise an instance whose mark has expired would receive
	// it again from one whose copy expires a few milliseconds later.
	minRemaining = 3 * time.Second
)

// Quarantine holds the marks in effect. It is immutable. A nil quarantine is empty.
type Quarantine struct {
	marks map[uint64]storedMark
}

// Crashes returns how many backend servers requests with the fingerprint have crashed, or 0 if
// there is no mark.
func (q *Quarantine) Crashes(fingerprint uint64, now time.Time) int {
	if q == nil {
		return 0
	}
	mark, ok := q.marks[fingerprint]
	if !ok || !now.Before(mark.expiresAt) {
		return 0
	}
	return mark.crashes
}

// Marks returns the marks to send to peers, ordered by fingerprint.
func (q *Quarantine) Marks(now time.Time) []QuarantineMark {
	if q == nil {
		return nil
	}
	var list []QuarantineMark
	for fingerprint, mark := range q.marks {
		if remaining := mark.expiresAt.Sub(now); remaining >= minRemaining {
			list = append(list, QuarantineMark{fingerprint, mark.service, mark.crashes, remaining})
		}
	}
	slices.SortFunc(list, func(a, b QuarantineMark) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// Digest returns a hash over the fingerprints and crash counts of the marks to send. The
// remaining time is left out, since it differs between instances by the transit time of
// messages.
func (q *Quarantine) Digest(now time.Time) uint64 {
	var digest uint64
	for _, mark := range q.Marks(now) {
		var b [16]byte
		binary.BigEndian.PutUint64(b[:], mark.Fingerprint)
		binary.BigEndian.PutUint64(b[8:], uint64(mark.Crashes))
		digest ^= xxhash.Sum64(b[:])
	}
	return digest
}

// Newer returns the marks whose crash count is higher than the one in effect here. A mark with
// the same crash count does not extend the existing one.
func (q *Quarantine) Newer(marks []QuarantineMark, now time.Time) []QuarantineMark {
	var newer []QuarantineMark
	for _, mark := range marks {
		if mark.Remaining >= minRemaining && mark.Crashes > q.Crashes(mark.Fingerprint, now) {
			newer = append(newer, mark)
		}
	}
	return newer
}

// With returns a copy of the quarantine with newer marks added and expired ones removed. A
// full table accepts no further fingerprints.
func (q *Quarantine) With(marks []QuarantineMark, now time.Time) *Quarantine {
	next := &Quarantine{marks: map[uint64]storedMark{}}
	if q != nil {
		for fingerprint, mark := range q.marks {
			if now.Before(mark.expiresAt) {
				next.marks[fingerprint] = mark
			}
		}
	}
	for _, mark := range next.Newer(marks, now) {
		if _, exists := next.marks[mark.Fingerprint]; exists || len(next.marks) < maxMarks {
			next.marks[mark.Fingerprint] = storedMark{mark.Service, mark.Crashes, now.Add(mark.Remaining)}
		}
	}
	return next
}
