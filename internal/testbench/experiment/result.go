package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Result is what an experiment shows, in the form of the lab's JSON.
type Result struct {
	Name          string            `json:"name"`
	Tokens        bool              `json:"tokens"`
	Sessions      int               `json:"sessions"`
	Moved         int               `json:"moved"`                // times that a client was sent away, or its connection broke
	Resumed       int               `json:"resumed"`              // went on from where they were
	ResumedWithin int               `json:"resumed_within_500ms"` // from MOVE, or the break, to the board being back
	StartedOver   int               `json:"started_over"`
	AttachedTwice int               `json:"attached_twice"` // sessions that two room servers let play, or epochs that went back
	Lost          int               `json:"lost"`           // acknowledged moves gone, or no board at the end
	RulesBroken   int               `json:"rules_broken"`
	P50           float64           `json:"resume_ms_p50"`
	P99           float64           `json:"resume_ms_p99"`
	Instances     int               `json:"instances"`
	Reloads       uint64            `json:"reloads"`       // taken over, by the balancers alive at the end
	ReloadsLeast  uint64            `json:"reloads_least"` // of one that lived throughout
	Killed        int               `json:"killed"`
	Renewed       int               `json:"renewed"`
	Over          int               `json:"games_over"` // played to their end
	Answers       int               `json:"answers"`
	LostAnswers   int               `json:"lost_answers"`
	BrokenUnmoved int               `json:"broken_connections_not_moved"` // other than by a kill -9
	RSS           float64           `json:"rss_mb_per_instance"`
	Cost          Cost              `json:"cost"`
	Refused       int               `json:"refused"`
	Failed        int               `json:"failed"`
	Raced         int               `json:"raced"`      // tokens presented at two balancers beside their owner's request,
	RacedUp       int               `json:"raced_up"`   // and let in first
	Replays       int               `json:"replays"`    // tokens presented after they had done their work,
	ReplaysUp     int               `json:"replays_up"` // and let in
	Reasons       map[string]int    `json:"started_over_by_reason"`
	Balancers     map[string]uint64 `json:"balancers"` // their own counts, of those alive at the end
	Broken        []string          `json:"broken,omitempty"`
	Without       *Result           `json:"without_tokens,omitempty"`
}

// Sound tells whether all rules and invariants were kept, in the run beside it too.
func (r Result) Sound() bool {
	return r.RulesBroken == 0 && r.AttachedTwice == 0 && r.Lost == 0 && r.ReplaysUp == 0 && (r.Without == nil || r.Without.Sound())
}

// Table writes the result for people.
func (r Result) Table(out io.Writer) error {
	columns := []Result{r}
	if r.Without != nil {
		columns = append(columns, *r.Without)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value func(Result) string) {
		fmt.Fprintf(w, "%s\t", name)
		for _, c := range columns {
			fmt.Fprintf(w, "%s\t", value(c))
		}
		fmt.Fprintln(w)
	}
	number := func(pick func(Result) int) func(Result) string {
		return func(c Result) string { return fmt.Sprint(pick(c)) }
	}
	row(r.Name, func(c Result) string {
		if c.Tokens {
			return "with tokens"
		}
		return "without"
	})
	row("sessions", number(func(c Result) int { return c.Sessions }))
	row("moved", number(func(c Result) int { return c.Moved }))
	row("resumed", number(func(c Result) int { return c.Resumed }))
	row("resumed within 500 ms", func(c Result) string {
		if c.Moved == 0 {
			return fmt.Sprint(c.ResumedWithin)
		}
		return fmt.Sprintf("%d (%.1f %%)", c.ResumedWithin, 100*float64(c.ResumedWithin)/float64(c.Moved))
	})
	row("ms to resume, median", func(c Result) string { return fmt.Sprintf("%.0f", c.P50) })
	row("ms to resume, 99 %", func(c Result) string { return fmt.Sprintf("%.0f", c.P99) })
	row("started over", number(func(c Result) int { return c.StartedOver }))
	for _, why := range slices.Sorted(maps.Keys(r.Reasons)) {
		row("of these "+why, number(func(c Result) int { return c.Reasons[why] }))
	}
	row("balancers", number(func(c Result) int { return c.Instances }))
	row("killed, renewed", func(c Result) string { return fmt.Sprintf("%d, %d", c.Killed, c.Renewed) })
	row("reloads, least of one", func(c Result) string { return fmt.Sprintf("%d, %d", c.Reloads, c.ReloadsLeast) })
	row("games over", number(func(c Result) int { return c.Over }))
	row("answers, lost", func(c Result) string { return fmt.Sprintf("%d, %d", c.Answers, c.LostAnswers) })
	row("broken without MOVE", number(func(c Result) int { return c.BrokenUnmoved }))
	row("MB a balancer", func(c Result) string { return fmt.Sprintf("%.1f", c.RSS) })
	row("MB, descriptors of the largest", func(c Result) string { return fmt.Sprintf("%.1f, %d", c.Cost.RSS, c.Cost.Descriptors) })
	row("refused", number(func(c Result) int { return c.Refused }))
	row("failed", number(func(c Result) int { return c.Failed }))
	row("tokens raced", number(func(c Result) int { return c.Raced }))
	row("of these first", number(func(c Result) int { return c.RacedUp }))
	row("tokens replayed", number(func(c Result) int { return c.Replays }))
	row("attached twice", number(func(c Result) int { return c.AttachedTwice + c.ReplaysUp }))
	row("lost", number(func(c Result) int { return c.Lost }))
	row("rules broken", number(func(c Result) int { return c.RulesBroken }))
	if err := w.Flush(); err != nil {
		return err
	}
	for _, c := range columns {
		for i, text := range c.Broken {
			if i == 10 {
				fmt.Fprintf(out, "... and %d more\n", len(c.Broken)-i)
				break
			}
			fmt.Fprintln(out, "broken:", text)
		}
	}
	return nil
}
