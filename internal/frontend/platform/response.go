package platform

import (
	"strconv"
	"strings"

	"cottonplank/decide"
)

// reportValueLimit is the exclusive upper bound of the values in a load report. Other values are ignored as invalid.
const reportValueLimit = 1e9

// The names of the values that are read from a load report.
const (
	reportLoad        = "x0"
	reportConnections = "inflight"
)

// response is a room server's answer to a request line.
type response struct {
	// accepted reports whether the server has accepted the request.
	accepted bool
	// code is the outcome of the attempt if the request was not accepted.
	code decide.Code
	// report is the server's load report, or decide.NoLoadReport if the answer has none.
	report decide.LoadReport
}

// parseResponse parses the answer to a request line. Only UP followed by exactly one word counts as an acceptance. An
// unknown answer counts as an error after which the request may have been executed.
func parseResponse(line string) response {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case wordUp:
		if isPrintableWord(rest) {
			return response{accepted: true, report: decide.NoLoadReport}
		}
	case wordBusy:
		// BUSY means that the request was not executed, so a corrupted line must not count as BUSY.
		if rest == "" || isLoadReport(rest) {
			return response{code: decide.Rejected, report: parseLoadReport(rest)}
		}
	case wordMove:
		return response{code: decide.Cancelled, report: decide.NoLoadReport}
	}
	return response{code: decide.ServerError, report: parseLoadReport(rest)}
}

// parseProbeResponse parses a room server's answer to a probe.
func parseProbeResponse(line string) (decide.Code, decide.LoadReport) {
	word, rest, _ := strings.Cut(line, " ")
	if word != wordPong {
		return decide.ServerError, parseLoadReport(rest)
	}
	return decide.OK, parseLoadReport(rest)
}

// isPrintableWord reports whether text is one word of printable ASCII characters.
func isPrintableWord(text string) bool {
	return text != "" && strings.IndexFunc(text, func(char rune) bool { return char <= ' ' || char > '~' }) < 0
}

// isLoadReport reports whether text has the form of a load report, without checking the values.
func isLoadReport(text string) bool {
	for pair := range strings.SplitSeq(text, ",") {
		if name, value, _ := strings.Cut(pair, "="); !isPrintableWord(name) || !isPrintableWord(value) {
			return false
		}
	}
	return true
}

// parseLoadReport parses a load report such as `inflight=7,x0=0.61`. A value that is missing or invalid keeps its
// value from decide.NoLoadReport.
func parseLoadReport(text string) decide.LoadReport {
	report := decide.NoLoadReport
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number < reportValueLimit) {
			continue
		}
		switch name {
		case reportLoad:
			report.Load = number
		case reportConnections:
			report.Connections = number
		}
	}
	return report
}
