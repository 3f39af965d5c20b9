package config

import (
	"strings"
	"testing"
)

// validControlKeys are the keys that a section control requires, except for machines.
const validControlKeys = `"region":"a","site":"x","keys":"k.json","state":"s.db"`

// An error names the key and the value. Paths are relative to the folder of the file. Without the section, no
// control-plane server is followed.
func TestControlPlaneSection(t *testing.T) {
	machine := func(address, region string) string { return `{"address":"` + address + `","region":"` + region + `"}` }
	one := `"machines":[` + machine("127.0.0.1:1", "a") + `]`
	for _, test := range []struct{ section, want string }{
		{validControlKeys, "control.machines: required setting is missing"},
		{one, "control.region: required setting is missing"},
		{one + `,"region":"a","keys":"k"`, "control.state: required setting is missing"},
		{one + `,"region":"a","keys":"k","state":"s"`, `control.site: ""`},
		{`"machines":[` + machine("x", "a") + `],` + validControlKeys, `control.machines[0].address: "x"`},
		{`"machines":[` + machine("127.0.0.1:1", "") + `],` + validControlKeys, "control.machines[0].region"},
		{`"machines":[` + machine("127.0.0.1:1", "a") + `,` + machine("127.0.0.1:1", "a") + `],` + validControlKeys,
			"control.machines[1].address"},
		{`"region":7`, "control.region: expected a value of type string"},
	} {
		t.Run(test.want, func(t *testing.T) {
			text := `{"control":{` + test.section + `}}`
			if _, err := ParseFronts([]byte(text), nil, "/d"); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: error %v, want one that contains %s", text, err, test.want)
			}
		})
	}
	both := `{"rooms":{"file":"r.json"},"control":{` + one + `,` + validControlKeys + `}}`
	if _, err := ParseFronts([]byte(both), nil, "/d"); err == nil || !strings.Contains(err.Error(), "control, rooms") {
		t.Errorf("sections rooms and control together: error %v, want one for control, rooms", err)
	}
	f, err := ParseFronts([]byte(`{"control":{`+one+`,`+validControlKeys+`}}`), nil, "/d")
	if err != nil || len(f.ControlPlane.Servers) != 1 || f.ControlPlane.KeysFile != "/d/k.json" ||
		f.ControlPlane.StateFile != "/d/s.db" {
		t.Errorf("%+v, %v", f.ControlPlane, err)
	}
	if f, err := ParseFronts([]byte(`{}`), nil, "/d"); err != nil || len(f.ControlPlane.Servers) != 0 {
		t.Errorf("%+v, %v", f.ControlPlane, err)
	}
}

// The configuration of a control-plane server that is both leader and follower, or neither, is rejected. An error names
// the key and the value.
func TestParseControlServer(t *testing.T) {
	follow := `"machines":[{"address":"127.0.0.1:2","region":"a"}]`
	listen := `{"listen":"127.0.0.1:1",` + validControlKeys
	for _, test := range []struct{ text, want string }{
		{`{`, "EOF"},
		{`{"x":1}`, `"x"`},
		{`{"listen":"x"}`, `listen: "x"`},
		{`{"listen":"127.0.0.1:1","region":7}`, "region: expected a value of type string"},
		{listen + `}`, "file, machines"},
		{listen + `,` + follow + `,"file":"f"}`, "file, machines"},
		{listen + `,"file":"f"}`, "term: 0"},
		{listen + `,` + follow + `,"term":2}`, "term: 2"},
		{`{"listen":"127.0.0.1:2",` + validControlKeys + `,` + follow + `}`, "machines[0].address"},
		{listen + `,"file":"f","term":1} {}`, "unexpected data after"},
		{`{"listen":"127.0.0.1:1","region":"a","site":"x","state":"s","file":"f","term":1}`,
			"keys: required setting is missing"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := parseControlServer([]byte(test.text), "/d")
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: error %v, want one that contains %s", test.text, err, test.want)
			}
		})
	}
	server, err := parseControlServer([]byte(listen+`,"file":"f","term":3}`), "/d")
	if err != nil || server.DocumentFile != "/d/f" || server.Term != 3 || server.KeysFile != "/d/k.json" {
		t.Errorf("%+v, %v", server, err)
	}
}
