package owners

// maxOrdersUnderWay bounds the orders that the holder has under way to all servers together,
// each of which occupies a connection and a goroutine. 1,670 servers need 1,850 renewals a
// second: 40 at a time if they answer within 20 ms. It leaves room for a failure domain of 600
// servers that do not answer within the timeout.
const maxOrdersUnderWay = 1024

// takeLimited returns the orders that are due for the ranges of a service, as long as fewer than
// maxOrdersUnderWay are under way. What the limit leaves out comes first the next time, so that
// orders without an answer cannot keep other ranges from theirs.
func (t *Table) takeLimited(service string, ranges []*rangeState, take func(*rangeState) (Order, bool)) []Order {
	var orders []Order
	start := t.resumeOrdersAt[service]
	for i := range ranges {
		at := (start + i) % len(ranges)
		if t.ordersUnderWay >= maxOrdersUnderWay {
			t.resumeOrdersAt[service] = at
			return orders
		}
		if order, ok := take(ranges[at]); ok {
			orders = append(orders, order)
		}
	}
	delete(t.resumeOrdersAt, service)
	return orders
}
