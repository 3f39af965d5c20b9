package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxPrintedViolations is the largest number of violations that are listed below a table.
const maxPrintedViolations = 10

// resultTable writes a table with one column for each result.
type resultTable struct {
	out     io.Writer
	columns []Result
}

// row writes a row with a text for each result.
func (t resultTable) row(name string, value func(Result) string) {
	fmt.Fprintf(t.out, "%s\t", name)
	for _, c := range t.columns {
		fmt.Fprintf(t.out, "%s\t", value(c))
	}
	fmt.Fprintln(t.out)
}

// count writes a row with a number for each result.
func (t resultTable) count(name string, value func(Result) int) {
	t.row(name, func(r Result) string { return fmt.Sprint(value(r)) })
}

// WriteTable writes the result as a human-readable table, with the violations below it.
func (r Result) WriteTable(out io.Writer) error {
	columns := []Result{r}
	if r.WithoutTokens != nil {
		columns = append(columns, *r.WithoutTokens)
	}
	w := newTableWriter(out)
	t := resultTable{w, columns}
	t.row(r.Name, func(c Result) string {
		if c.Tokens {
			return "with tokens"
		}
		return "without"
	})
	t.writeSessions(r.Reasons)
	t.writeFleet()
	t.writeInvariants()
	if err := w.Flush(); err != nil {
		return err
	}
	for _, c := range columns {
		writeViolations(out, c.ViolationTexts)
	}
	return nil
}

// newTableWriter returns a writer that aligns columns to the right.
func newTableWriter(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// writeSessions writes the counts of sessions and the times to resume them.
func (t resultTable) writeSessions(reasons map[string]int) {
	t.count("sessions", func(r Result) int { return r.Sessions })
	t.count("moved", func(r Result) int { return r.Migrated })
	t.count("resumed", func(r Result) int { return r.Resumed })
	t.row("resumed within 500 ms", func(r Result) string {
		if r.Migrated == 0 {
			return fmt.Sprint(r.ResumedWithin)
		}
		percent := 100 * float64(r.ResumedWithin) / float64(r.Migrated)
		return fmt.Sprintf("%d (%.1f %%)", r.ResumedWithin, percent)
	})
	t.row("resume ms, median", func(r Result) string { return fmt.Sprintf("%.0f", r.ResumeMsP50) })
	t.row("resume ms, 99 %", func(r Result) string { return fmt.Sprintf("%.0f", r.ResumeMsP99) })
	t.count("started over", func(r Result) int { return r.StartedOver })
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		t.count("started over: "+reason, func(r Result) int { return r.Reasons[reason] })
	}
}

// writeFleet writes the counts of balancers, games and answers, and the resources that the balancers use.
func (t resultTable) writeFleet() {
	t.count("balancers", func(r Result) int { return r.Instances })
	t.row("killed, hot restarts", func(r Result) string { return fmt.Sprintf("%d, %d", r.Killed, r.HotRestarts) })
	t.row("reloads: sum, minimum", func(r Result) string { return fmt.Sprintf("%d, %d", r.Reloads, r.MinReloads) })
	t.count("games ended", func(r Result) int { return r.GamesEnded })
	t.row("answers, missing", func(r Result) string { return fmt.Sprintf("%d, %d", r.Answers, r.UnansweredRequests) })
	t.count("connections broken without MOVE", func(r Result) int { return r.BrokenUnannounced })
	t.row("mean MB of a balancer", func(r Result) string { return fmt.Sprintf("%.1f", r.MeanResidentMB) })
	t.row("largest MB, descriptors of a balancer", func(r Result) string {
		return fmt.Sprintf("%.1f, %d", r.Cost.MaxResidentMB, r.Cost.MaxDescriptors)
	})
}

// writeInvariants writes the counts of rejected and failed requests, replayed tokens and violations.
func (t resultTable) writeInvariants() {
	t.count("refused", func(r Result) int { return r.Rejected })
	t.count("failed", func(r Result) int { return r.Failed })
	t.count("token copies raced", func(r Result) int { return r.RacedTokens })
	t.count("raced copies accepted", func(r Result) int { return r.RacesWon })
	t.count("token copies replayed", func(r Result) int { return r.ReplayedTokens })
	t.count("double attachments, accepted replays", func(r Result) int { return r.DoubleAttachments + r.ReplaysAccepted })
	t.count("lost", func(r Result) int { return r.LostSessions })
	t.count("invariants violated", func(r Result) int { return r.Violations })
}

// writeViolations writes the first violations, one on each line.
func writeViolations(out io.Writer, violations []string) {
	for i, text := range violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "... and %d more\n", len(violations)-i)
			return
		}
		fmt.Fprintln(out, "broken:", text)
	}
}
