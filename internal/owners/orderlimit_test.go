package owners

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a holder that opens a connection to each of thousands of servers at the same
// time, and against servers that do not answer and keep others from their renewals.
func TestOrdersUnderWayAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const servers = 3 * maxOrdersUnderWay
	record := Record{Epoch: 1, Services: map[string][]RecordRange{}}
	listed := incarnationMap{}
	for n := range servers {
		name := fmt.Sprintf("s%05d", n)
		listed[name] = incarnation(name)
		first, last := n*NumKeys/servers, (n+1)*NumKeys/servers-1
		record.Services[service] = append(record.Services[service], RecordRange{From: first, To: last, Owner: name, StartMS: 1})
	}
	table := NewTable(record, "h", now)
	held := func() int {
		n := 0
		for _, r := range table.OwnedRanges(service) {
			if r.Held {
				n++
			}
		}
		return n
	}
	var unanswered []Order
	for range 200 {
		orders := table.TakeDueOrders(now, listed)
		is.True(len(orders)+len(unanswered) <= maxOrdersUnderWay)
		for _, o := range orders {
			if o.From < NumKeys/4 { // a failure domain that does not answer
				unanswered = append(unanswered, o)
				continue
			}
			is.True(table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now}))
		}
		now = now.Add(50 * time.Millisecond)
		open := unanswered[:0]
		for _, o := range unanswered {
			if now.Sub(o.CreatedAt) < OrderTimeout {
				open = append(open, o)
				continue
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now})
		}
		unanswered = open
	}
	is.True(held() >= servers*3/4-1)
}
