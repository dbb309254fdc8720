package page

import (
	"fmt"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/report"
)

// laneHeight is the height of one shard.
const laneHeight = 18.0

// lanePlot shows who held each shard, and when ranges had no owner.
type lanePlot struct {
	Height float64
	Lanes  []laneView
	// Holders are the legend; the class of a tenure is the place of its holder.
	Holders []string
	XTicks  []tick
}

// newLanePlot returns nil when there is nothing to plot.
func newLanePlot(lanes []report.ShardHistory) *lanePlot {
	axis := axisOfLanes(lanes)
	if axis.from.IsZero() {
		return nil
	}
	p := &lanePlot{Height: plotTop + laneHeight*float64(len(lanes)), XTicks: axis.ticks(), Holders: holdersOf(lanes)}
	for n, lane := range lanes {
		p.Lanes = append(p.Lanes, p.lane(axis, lane, plotTop+laneHeight*float64(n)))
	}
	return p
}

func (p *lanePlot) lane(axis timeAxis, lane report.ShardHistory, top float64) laneView {
	v := laneView{Shard: lane.Shard, Y: top + laneHeight*0.7}
	add := func(class, title string, from, until time.Time) {
		left := axis.x(from)
		width := max(axis.x(until)-left, 1)
		v.Bars = append(v.Bars, bar{X: left, Y: top + 2, W: round(width), H: laneHeight - 4, Class: class, Title: title})
	}
	for _, t := range lane.Tenures {
		class := fmt.Sprintf("holder%d", slices.Index(p.Holders, t.Holder)%holderColours)
		title := fmt.Sprintf("%s: %s from %s, token %s", lane.Shard, t.Holder, t.From.UTC().Format("15:04:05.000"), t.Token)
		if t.EndMissing {
			title += "; its end is not recorded"
			class += " cut"
		}
		add(class, title, t.From, t.Until)
	}
	for _, pause := range lane.Takeovers {
		add("pause", fmt.Sprintf("range %s: %s lost, %s took over", pause.Range, pause.PreviousOwner, pause.NewOwner), pause.From, pause.Until)
	}
	for _, orphan := range lane.MissingOwners {
		add("orphan", fmt.Sprintf("range %s: no standby answered", orphan.Range), orphan.At, orphan.At)
	}
	return v
}

// holderColours is the number of colours in the template.
const holderColours = 6

func holdersOf(lanes []report.ShardHistory) []string {
	var holders []string
	for _, lane := range lanes {
		for _, t := range lane.Tenures {
			if !slices.Contains(holders, t.Holder) {
				holders = append(holders, t.Holder)
			}
		}
	}
	slices.Sort(holders)
	return holders
}

func axisOfLanes(lanes []report.ShardHistory) timeAxis {
	var axis timeAxis
	for _, lane := range lanes {
		for _, t := range lane.Tenures {
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
