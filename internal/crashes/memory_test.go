package crashes

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(100000, 0)

func loss(content, id uint64, at time.Time) Loss { return Loss{Content: content, ID: id, At: at} }

// Guards against a loss that counts twice because the instance that has seen it and the
// holder both tell of it.
func TestLossCountsOnceHoweverOftenItIsTold(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	for range 5 {
		m.Record(loss(9, 1, start), start)
		is.True(!m.Blocks(start, 9))
	}
	m.Record(loss(9, 2, start), start)
	is.True(m.Blocks(start, 9))
	is.True(!m.Blocks(start, 8))
}

// Guards against a request that is refused for longer because its losses are told again.
func TestLossCountsNoLongerBecauseItIsTold(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	m.Record(loss(9, 1, start), start)
	m.Record(loss(9, 2, start), start)
	told := start.Add(lossTTL - time.Second)
	for _, l := range m.All(told) {
		m.Record(Loss{Content: l.Content, ID: l.ID, At: l.At.Add(time.Second)}, told) // a message that took a second
	}
	is.True(m.Blocks(told, 9))
	is.True(!m.Blocks(start.Add(lossTTL), 9))
	m.Record(loss(7, 3, start), start.Add(lossTTL)) // told when it is too old to count
	is.Equal(len(m.All(start.Add(lossTTL))), 0)
}

// Guards against an excused loss that counts again because an instance that does not know
// of the excuse tells of it.
func TestExcusedLossStaysExcused(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	m.Record(loss(9, 1, start), start)
	m.Record(loss(9, 2, start), start)
	m.Excuse(9, 1)
	is.True(!m.Blocks(start, 9))
	m.Record(loss(9, 1, start), start)
	is.True(!m.Blocks(start, 9))
	m.Answered(9)
	m.Record(loss(9, 3, start), start)
	is.True(!m.Blocks(start, 9)) // only the loss after the answer counts
	m.Excuse(5, 1)               // unknown
	m.Answered(5)
	is.True(!m.Blocks(start, 5))
}

// Guards against a request that is run again because many other requests were lost, as when
// connections are reset: the memory forgot everything once it was full.
func TestOtherLossesDoNotMakeTheMemoryForgetACrashingRequest(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	m.Record(loss(9, 1, start), start)
	m.Record(loss(9, 2, start), start)
	for n := range uint64(5 * maxContents) {
		now := start.Add(time.Duration(n) * time.Millisecond)
		m.Record(loss(100+n, n, now), now)
	}
	is.True(m.Blocks(start.Add(30*time.Second), 9))
	is.True(len(m.All(start.Add(30*time.Second))) <= maxContents+1)
}

// Guards against a memory without bounds if one request is lost again and again.
func TestLossesOfOneRequestAreBounded(t *testing.T) {
	is := is.New(t)
	m := NewMemory()
	for n := range uint64(1000) {
		m.Record(loss(9, n, start), start)
	}
	is.Equal(len(m.All(start)), maxLossesPerContent)
}

// Guards against instances that disagree about a request although each knows what the
// others do: the order in which they are told must not matter.
func TestOrderOfTellingDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Loss {
			return Loss{
				Content: rapid.Uint64Range(1, 3).Draw(t, "content"), ID: rapid.Uint64Range(1, 4).Draw(t, "id"),
				At: start.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "at")) * time.Second), Excused: rapid.IntRange(0, 3).Draw(t, "excused") == 0,
			}
		}), 0, 12).Draw(t, "told")
		now := start.Add(10 * time.Second)
		first, second := NewMemory(), NewMemory()
		for i := range told {
			first.Record(told[i], now)
			second.Record(told[len(told)-1-i], now)
		}
		for hash := range uint64(4) {
			for after := range 70 {
				if at := now.Add(time.Duration(after) * time.Second); first.Blocks(at, hash) != second.Blocks(at, hash) {
					t.Fatalf("content %d is refused by one memory only, %d s later", hash, after)
				}
			}
		}
	})
}
