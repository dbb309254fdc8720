package crashes

import "time"

const (
	// MaxLosses is how many servers a request may crash before it is refused.
	MaxLosses = 2
	// lossTTL is how long a loss counts; callers repeat such requests within seconds.
	lossTTL = 60 * time.Second
	// maxContents bounds the request contents that are remembered, to about 1 MB.
	maxContents = 4096
	// contentsAfterEviction leaves room for further contents before the next eviction.
	contentsAfterEviction = maxContents * 7 / 8
	// maxLossesPerContent bounds the losses of one content: enough to refuse it even if
	// some of them are excused later.
	maxLossesPerContent = 8
)
