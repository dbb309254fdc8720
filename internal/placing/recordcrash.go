package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/crashes"
)

// RecordCrash remembers a lost attempt, which may have crashed its server, and that a
// request was answered, which shows that it crashes none. The instance of the attempt and
// the holder both do so; the ID of the attempt makes it count once.
func RecordCrash(memory *crashes.Memory, now time.Time, completion Completion) {
	switch completion.Outcome {
	case Answered:
		memory.Answered(completion.ContentHash)
	case Lost:
		memory.Record(crashes.Loss{Content: completion.ContentHash, ID: completion.AttemptID.lossID(), At: now}, now)
	}
}
