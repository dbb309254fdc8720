package holder

import "time"

// pace bounds the bytes/s of something. It is a token bucket that begins full.
type pace struct {
	perSecond, burst float64
	spent            float64
	at               time.Time
}

// take reports whether so many bytes may be sent at now.
func (p *pace) take(now time.Time, bytes int) bool {
	if !p.at.IsZero() {
		p.spent = max(0, p.spent-p.perSecond*now.Sub(p.at).Seconds())
	}
	p.at = now
	if p.spent > 0 && p.spent+float64(bytes) > p.burst {
		return false
	}
	p.spent += float64(bytes)
	return true
}
