package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxPrintedViolations is the number of violations that a table lists.
const maxPrintedViolations = 10

// resultTable writes a table with a column for each of some results.
type resultTable struct {
	out     io.Writer
	columns []Result
}

// row writes a row of texts.
func (t resultTable) row(name string, value func(Result) string) {
	fmt.Fprintf(t.out, "%s\t", name)
	for _, c := range t.columns {
		fmt.Fprintf(t.out, "%s\t", value(c))
	}
	fmt.Fprintln(t.out)
}

// count writes a row of numbers.
func (t resultTable) count(name string, value func(Result) int) {
	t.row(name, func(r Result) string { return fmt.Sprint(value(r)) })
}

// WriteTable writes the result as a table for people, with the violations below it.
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

// writeSessions writes what has happened to the sessions.
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
	t.row("ms to resume, median", func(r Result) string { return fmt.Sprintf("%.0f", r.ResumeMsP50) })
	t.row("ms to resume, 99 %", func(r Result) string { return fmt.Sprintf("%.0f", r.ResumeMsP99) })
	t.count("started over", func(r Result) int { return r.StartedOver })
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		t.count("of these "+reason, func(r Result) int { return r.Reasons[reason] })
	}
}

// writeFleet writes what has happened to the balancers and what they cost.
func (t resultTable) writeFleet() {
	t.count("balancers", func(r Result) int { return r.Instances })
	t.row("killed, renewed", func(r Result) string { return fmt.Sprintf("%d, %d", r.Killed, r.Renewed) })
	t.row("reloads, least of one", func(r Result) string { return fmt.Sprintf("%d, %d", r.Reloads, r.MinReloads) })
	t.count("games over", func(r Result) int { return r.GamesEnded })
	t.row("answers, lost", func(r Result) string { return fmt.Sprintf("%d, %d", r.Answers, r.UnansweredRequests) })
	t.count("broken without MOVE", func(r Result) int { return r.BrokenUnannounced })
	t.row("MB a balancer", func(r Result) string { return fmt.Sprintf("%.1f", r.MeanResidentMB) })
	t.row("MB, descriptors of the largest", func(r Result) string {
		return fmt.Sprintf("%.1f, %d", r.Cost.MaxResidentMB, r.Cost.MaxDescriptors)
	})
}

// writeInvariants writes the counts of failures and violations.
func (t resultTable) writeInvariants() {
	t.count("refused", func(r Result) int { return r.Rejected })
	t.count("failed", func(r Result) int { return r.Failed })
	t.count("tokens raced", func(r Result) int { return r.RacedTokens })
	t.count("of these first", func(r Result) int { return r.RacesWon })
	t.count("tokens replayed", func(r Result) int { return r.ReplayedTokens })
	t.count("attached twice", func(r Result) int { return r.DoubleAttachments + r.ReplaysAccepted })
	t.count("lost", func(r Result) int { return r.LostSessions })
	t.count("rules broken", func(r Result) int { return r.Violations })
}

// writeViolations writes the first violations, one a line.
func writeViolations(out io.Writer, violations []string) {
	for i, text := range violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "... and %d more\n", len(violations)-i)
			return
		}
		fmt.Fprintln(out, "broken:", text)
	}
}
