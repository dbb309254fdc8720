package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"peridotmoor.org/peridotmoor/internal/explain"
)

// explanationOutput is the output of explain.
type explanationOutput struct{ explain.Answer }

func (e explanationOutput) writeText(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "instance\t%s in %s, settings version %d\n", e.Instance, e.Domain, e.SettingsVersion)
	fmt.Fprintf(table, "facts\t%s\n", factsText(e.Facts))
	fmt.Fprintf(table, "holder\t%s\n", holderText(e.Holder))
	if e.Team != nil {
		fmt.Fprintf(table, "team\t%s\n", teamText(*e.Team))
	}
	if e.Route != nil {
		fmt.Fprintf(table, "route\t%s, kind %s, rank %d\n", e.Route.Name, e.Route.Kind, e.Rank)
		fmt.Fprintf(table, "second attempt\tif the first has not run: %s; if it may have run: %s\n", yesNo(e.RetryIfNotRun), yesNo(e.RetryIfLost))
	}
	fmt.Fprintf(table, "refused on arrival\t%s\n", refusalText(e.Refusal))
	for _, s := range e.Services {
		fmt.Fprintf(table, "service %s\tweight %g, hedge: %s\n", s.Name, s.Weight, yesNo(s.MayHedge))
		if s.Keyed && s.Owner != "" {
			fmt.Fprintf(table, "  owner\t%s, holds the key: %s\n", s.Owner, yesNo(s.OwnerHolds))
		}
		fmt.Fprintf(table, "  refused\t%s\n", refusalText(s.Refusal))
		for _, x := range s.Servers {
			fmt.Fprintf(table, "  server %s\t%s\n", x.Name, serverText(x))
		}
		if more := s.ServerCount - len(s.Servers); more > 0 {
			fmt.Fprintf(table, "  further servers\t%d\n", more)
		}
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func factsText(f explain.Facts) string {
	if !f.Known {
		return "the store has not been read yet"
	}
	text := fmt.Sprintf("%d ms old", f.AgeMS)
	if f.TooOld {
		text += "; too old: a request first reads the store or asks the server"
	}
	return text
}

func holderText(h explain.Holder) string {
	name := h.Name
	if name == "" {
		name = "none"
	}
	placed := "the instance places requests by itself"
	if h.Places {
		placed = "it places requests"
	}
	return fmt.Sprintf("%s, silent for %d ms, %d instances; %s", name, h.SilentMS, h.Instances, placed)
}

func teamText(t explain.Team) string {
	if !t.Capped {
		return t.Name + ", no usage cap"
	}
	return fmt.Sprintf("%s, cap %g/s and burst %g; without the holder %.2f requests now, the next admitted with probability %.2f", t.Name, t.RatePerS, t.Burst, t.LocalTokens, t.LocalChance)
}

func refusalText(r *explain.Refusal) string {
	if r == nil {
		return "no"
	}
	text := fmt.Sprintf("%d, %s", r.Status, r.Reason)
	if r.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after %d ms", r.RetryAfterMS)
	}
	return text
}

func serverText(x explain.Server) string {
	text := x.Domain + ", usable"
	if !x.Usable {
		text = x.Domain + ", not usable: " + x.Obstacle
	}
	if x.Cold {
		text += ", cold"
	}
	if x.LimitPerS != nil {
		text += fmt.Sprintf(", limit %g/s", *x.LimitPerS)
	}
	if x.LocalObstacle != "" {
		text += ", not without the holder: " + x.LocalObstacle
	}
	if !x.Confirmed {
		text += ", to be asked first"
	}
	return text
}
