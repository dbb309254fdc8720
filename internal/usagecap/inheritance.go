package usagecap

import "time"

// inheritance is what a new holder knows of the allowances that the holder before it told for
// one team. The parts that are not inherited may belong to instances that have not joined.
type inheritance struct {
	parts map[string]float64
	sum   float64
	// until is when the last of these allowances ends.
	until time.Time
}

// add records the part of an instance that has joined.
func (i *inheritance) add(instance string, part float64) {
	if i.parts == nil {
		i.parts = map[string]float64{}
	}
	i.sum += part - i.parts[instance]
	i.parts[instance] = part
}

// share returns the part of the cap that the holder may use at now, given that which it may
// use by the number of instances that follow it, and whether it comes from the parts. It is
// the lower one, since an earlier holder that goes on uses its share by number.
func (i *inheritance) share(now time.Time, byInstances float64) (float64, bool) {
	if len(i.parts) == 0 || byInstances >= 1 || !now.Before(i.until) {
		return byInstances, false
	}
	return min(byInstances, i.sum), true
}

// neededShare returns the part of the cap that the instances of the holder need together at
// now, whichever part the holder itself may use: what they held of the allowances of earlier
// holders, or all once those have ended. A holder that has lost its lease tells smaller
// allowances, but its successor may use all that its instances need.
func (i *inheritance) neededShare(now time.Time, byInstances float64) float64 {
	switch {
	case !now.Before(i.until):
		return 1
	case len(i.parts) == 0:
		return byInstances
	}
	return min(1, i.sum)
}
