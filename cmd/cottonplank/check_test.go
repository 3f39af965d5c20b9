package main

import (
	"path/filepath"
	"testing"
)

const reloadSummary = "SIGHUP takes over: discovery, from the file before PROXY_DISCOVERY, the keys of tokens and " +
	"of the membership and the list of room servers; every other key takes a restart\n"

// Operators' scripts parse the summary, so its text must not change.
func TestCheckSummary(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	replaceFile(t, path, validConfig)
	t.Setenv("PROXY_CONFIG", path)
	status, output := runCommand("check")
	const summary = `n3: 1 classes, 0 known room servers, management "", quic "", snmp ""
descriptors: 880 for channels and dials, 110 of them for dials alone; ` +
		"371 requests and connections at once; 128 for probes\n"
	if status != 0 || output != summary+reloadSummary {
		t.Errorf("status %d, output %q", status, output)
	}

	endpointFile, fronts := filepath.Join(dir, "rooms.json"), filepath.Join(dir, "fronts.json")
	replaceFile(t, endpointFile, twoEndpoints)
	replaceFile(t, fronts, `{"rooms":{"file":"rooms.json"}}`)
	status, output = runCommand("check", "--fronts", fronts)
	want := "rooms: 2 room servers from " + endpointFile + ", in place of discovery\n" + summary + reloadSummary
	if status != 0 || output != want {
		t.Errorf("with an endpoint file: status %d, output %q", status, output)
	}
}

// Guards against a check that passes although a file named in the fronts file is missing: serve would then fail to
// start.
func TestCheckReportsMissingFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	replaceFile(t, path, validConfig)
	t.Setenv("PROXY_CONFIG", path)
	for _, test := range []struct{ name, fronts, want string }{
		{"sessions", `{"resume":{"keys":"missing.json","site":"x"}}`, "fronts: resume.keys: stat "},
		{"endpoint file", `{"rooms":{"file":"missing.json"}}`, "fronts: rooms: open "},
		{"membership", `{"membership":{"name":"b","listen":"127.0.0.1:7946","zone":"a","region":"x","keys":"missing.json"}}`,
			"fronts: membership.keys: stat "},
	} {
		t.Run(test.name, func(t *testing.T) {
			fronts := filepath.Join(dir, "fronts.json")
			replaceFile(t, fronts, test.fronts)
			expectCommand(t, 1, test.want, "check", "--fronts", fronts)
		})
	}
}
