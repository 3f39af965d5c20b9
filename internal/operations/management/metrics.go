package management

import (
	"fmt"
	"strings"

	"cottonplank/internal/core"
	"cottonplank/internal/session/migration"
)

// Metric is a line of the response to INFO in addition to the metrics of the engine.
type Metric struct {
	Name  string // without the prefix "svc."
	Value uint64
}

// formatMetrics returns the response to INFO. The names of the metrics and their order are part of the management
// protocol.
func (s *Server) formatMetrics(snapshot *core.Snapshot) string {
	var response strings.Builder
	response.WriteString(statusOK + "figures\r\n")
	write := func(name string, value uint64) { fmt.Fprintf(&response, "%s%s=%d\r\n", metricPrefix, name, value) }
	for i, class := range s.classes {
		counters := snapshot.Classes[i]
		write("fulfilled."+class, counters.Served)
		write("throttled."+class, counters.Rejected)
		write("faulted."+class, counters.Failed)
		write("relayed."+class, counters.Attempts)
	}
	if snapshot.Generation > 0 {
		write("generation", snapshot.Generation)
	}
	if snapshot.SessionsEnabled {
		writeSessionMetrics(write, snapshot)
	}
	if s.extraMetrics != nil {
		for _, metric := range s.extraMetrics() {
			write(metric.Name, metric.Value)
		}
	}
	write("open_requests", uint64(snapshot.Waiting+snapshot.Established))
	write("registry_entries", uint64(snapshot.Listed))
	write("out_of_rotation", uint64(snapshot.Ejected))
	response.WriteString(infoEnd)
	return response.String()
}

func writeSessionMetrics(write func(name string, value uint64), snapshot *core.Snapshot) {
	write("tokens_given", snapshot.TokensIssued)
	write("tokens_unsealed", snapshot.TokensUnsealed)
	write("resumed", snapshot.Resumed)
	for reason := range migration.NumReasons {
		group := "started_over."
		if reason.IsTokenError() {
			group = "token_refused."
		}
		write(group+reason.String(), snapshot.StartedOver[core.Reason(reason.String())])
	}
}
