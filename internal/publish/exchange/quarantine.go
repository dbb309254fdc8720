package exchange

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMarks bounds the table; at 64 B each it takes at most 256 KB.
	maxMarks = 4096
	// minRemaining is the rest of a mark that is no longer passed on. Without it
	// a mark that one instance has dropped would come back from one whose copy
	// ends a few milliseconds later.
	minRemaining = 3 * time.Second
)

// Quarantine holds the marks in effect. It is immutable; the nil table is empty.
type Quarantine struct {
	marks map[uint64]storedMark
}

// Crashes returns how many servers requests with the fingerprint have crashed, 0 without a mark.
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

// Marks returns the marks to pass on, ordered by fingerprint.
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

// Digest covers fingerprints and crashes of the marks to pass on. The remaining
// time is left out, since it differs by the time that messages take.
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

// Newer returns the marks that are not in effect here with as many crashes. A
// mark with the same number of crashes does not prolong the one held.
func (q *Quarantine) Newer(marks []QuarantineMark, now time.Time) []QuarantineMark {
	var news []QuarantineMark
	for _, mark := range marks {
		if mark.Remaining >= minRemaining && mark.Crashes > q.Crashes(mark.Fingerprint, now) {
			news = append(news, mark)
		}
	}
	return news
}

// With returns the table with the newer ones of marks taken over and ended ones
// dropped. A full table takes no further fingerprints.
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
		if _, held := next.marks[mark.Fingerprint]; held || len(next.marks) < maxMarks {
			next.marks[mark.Fingerprint] = storedMark{mark.Service, mark.Crashes, now.Add(mark.Remaining)}
		}
	}
	return next
}
