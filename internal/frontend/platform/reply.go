package platform

import (
	"strconv"
	"strings"

	"cottonplank/decide"
)

// reply is a room server's answer to a first line or a probe.
type reply struct {
	up     bool
	code   decide.Code // where it is not up
	report decide.LoadReport
}

// parseReply reads the answer to a first line. Only a line that a room server makes for a connection that
// stands counts as up; what is not known counts as an error, which may have run.
func parseReply(line string) reply {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "UP":
		if isToken(rest) {
			return reply{up: true, report: decide.NoLoadReport}
		}
	case "BUSY":
		// Guards against a spoilt answer: BUSY proves that nothing ran, so it counts in a room server's form alone.
		if rest == "" || isReport(rest) {
			return reply{code: decide.Rejected, report: parseReport(rest)}
		}
	case "MOVE":
		return reply{code: decide.Cancelled, report: decide.NoLoadReport}
	}
	return reply{code: decide.ServerError, report: parseReport(rest)}
}

// isToken tells whether a text is one word of printable characters.
func isToken(text string) bool {
	return text != "" && strings.IndexFunc(text, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// isReport tells whether a text has the form of a load report, whatever its values.
func isReport(text string) bool {
	for pair := range strings.SplitSeq(text, ",") {
		if name, value, _ := strings.Cut(pair, "="); !isToken(name) || !isToken(value) {
			return false
		}
	}
	return true
}

// parseReport reads a load report, `inflight=7,x0=0.61`; absent and odd values count as not told.
func parseReport(text string) decide.LoadReport {
	report := decide.NoLoadReport
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue
		}
		switch name {
		case "x0":
			report.Load = v
		case "inflight":
			report.Connections = v
		}
	}
	return report
}

// parseProbe reads the answer to PING or STATS.
func parseProbe(line string) (decide.Code, decide.LoadReport) {
	word, rest, _ := strings.Cut(line, " ")
	if word != "PONG" {
		return decide.ServerError, parseReport(rest)
	}
	return decide.OK, parseReport(rest)
}
