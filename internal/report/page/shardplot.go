package page

import (
	"fmt"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/report"
)

// shardRowHeight is the height of the row of one shard.
const shardRowHeight = 18.0

// shardPlot shows the holder of each shard over time, and when ranges had no owner.
type shardPlot struct {
	Height float64
	Rows   []shardRow
	// Holders is the legend; the class of a tenure is the index of its holder.
	Holders []string
	XTicks  []tick
}

// newShardPlot returns nil when there is nothing to plot.
func newShardPlot(histories []report.ShardHistory) *shardPlot {
	axis := axisOfTenures(histories)
	if axis.from.IsZero() {
		return nil
	}
	p := &shardPlot{Height: plotTop + shardRowHeight*float64(len(histories)), XTicks: axis.ticks(), Holders: holderNames(histories)}
	for n, history := range histories {
		p.Rows = append(p.Rows, p.newRow(axis, history, plotTop+shardRowHeight*float64(n)))
	}
	return p
}

func (p *shardPlot) newRow(axis timeAxis, history report.ShardHistory, top float64) shardRow {
	v := shardRow{Shard: history.Shard, Y: top + shardRowHeight*0.7}
	add := func(class, title string, from, until time.Time) {
		left := axis.x(from)
		width := max(axis.x(until)-left, 1)
		v.Bars = append(v.Bars, bar{X: left, Y: top + 2, W: round(width), H: shardRowHeight - 4, Class: class, Title: title})
	}
	for _, t := range history.Tenures {
		class := fmt.Sprintf("holder%d", slices.Index(p.Holders, t.Holder)%holderColours)
		title := fmt.Sprintf("%s: %s from %s, token %s", history.Shard, t.Holder, t.From.UTC().Format("15:04:05.000"), t.Token)
		if t.EndMissing {
			title += "; its end is not recorded"
			class += " cut"
		}
		add(class, title, t.From, t.Until)
	}
	for _, takeover := range history.Takeovers {
		add("pause", fmt.Sprintf("range %s: %s lost, %s took over", takeover.Range, takeover.PreviousOwner, takeover.NewOwner), takeover.From, takeover.Until)
	}
	for _, missing := range history.MissingOwners {
		add("orphan", fmt.Sprintf("range %s: no standby answered", missing.Range), missing.At, missing.At)
	}
	return v
}

// holderColours is the number of holder colours in the template.
const holderColours = 6

func holderNames(histories []report.ShardHistory) []string {
	var holders []string
	for _, history := range histories {
		for _, t := range history.Tenures {
			if !slices.Contains(holders, t.Holder) {
				holders = append(holders, t.Holder)
			}
		}
	}
	slices.Sort(holders)
	return holders
}

func axisOfTenures(histories []report.ShardHistory) timeAxis {
	var axis timeAxis
	for _, history := range histories {
		for _, t := range history.Tenures {
			if axis.from.IsZero() || t.From.Before(axis.from) {
				axis.from = t.From
			}
			if t.Until.After(axis.until) {
				axis.until = t.Until
			}
		}
	}
	return axis
}
