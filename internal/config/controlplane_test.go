package config

import (
	"strings"
	"testing"
)

// validControlKeys are the keys of a section control, without its machines.
const validControlKeys = `"region":"a","site":"x","keys":"k.json","state":"s.db"`

// Errors name the key and the value; paths are relative to the file's folder; without the section everything is off.
func TestControlPlaneSection(t *testing.T) {
	machine := func(address, region string) string { return `{"address":"` + address + `","region":"` + region + `"}` }
	one := `"machines":[` + machine("127.0.0.1:1", "a") + `]`
	for _, test := range []struct{ section, want string }{
		{validControlKeys, "control.machines: is missing"},
		{one, "control.region: is missing"},
		{one + `,"region":"a","keys":"k"`, "control.state: is missing"},
		{one + `,"region":"a","keys":"k","state":"s"`, `control.site: ""`},
		{`"machines":[` + machine("x", "a") + `],` + validControlKeys, `control.machines[0].address: "x"`},
		{`"machines":[` + machine("127.0.0.1:1", "") + `],` + validControlKeys, "control.machines[0].region"},
		{`"machines":[` + machine("127.0.0.1:1", "a") + `,` + machine("127.0.0.1:1", "a") + `],` + validControlKeys,
			"control.machines[1].address"},
		{`"region":7`, "control.region: a string"},
	} {
		t.Run(test.want, func(t *testing.T) {
			text := `{"control":{` + test.section + `}}`
			if _, err := ParseFronts([]byte(text), nil, "/d"); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: %v, want %s", text, err, test.want)
			}
		})
	}
	both := `{"rooms":{"file":"r.json"},"control":{` + one + `,` + validControlKeys + `}}`
	if _, err := ParseFronts([]byte(both), nil, "/d"); err == nil || !strings.Contains(err.Error(), "control, rooms") {
		t.Errorf("an endpoint file beside control-plane servers: %v", err)
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

// A control-plane server is the leader or a follower, and errors name the key and the value.
func TestParseControlServer(t *testing.T) {
	follow := `"machines":[{"address":"127.0.0.1:2","region":"a"}]`
	listen := `{"listen":"127.0.0.1:1",` + validControlKeys
	for _, test := range []struct{ text, want string }{
		{`{`, "EOF"},
		{`{"x":1}`, `"x"`},
		{`{"listen":"x"}`, `listen: "x"`},
		{`{"listen":"127.0.0.1:1","region":7}`, "region: a string"},
		{listen + `}`, "file, machines"},
		{listen + `,` + follow + `,"file":"f"}`, "file, machines"},
		{listen + `,"file":"f"}`, "term: 0"},
		{listen + `,` + follow + `,"term":2}`, "term: 2"},
		{`{"listen":"127.0.0.1:2",` + validControlKeys + `,` + follow + `}`, "machines[0].address"},
		{listen + `,"file":"f","term":1} {}`, "more follows"},
		{`{"listen":"127.0.0.1:1","region":"a","site":"x","state":"s","file":"f","term":1}`, "keys: is missing"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := parseControlServer([]byte(test.text), "/d")
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: %v, want %s", test.text, err, test.want)
			}
		})
	}
	server, err := parseControlServer([]byte(listen+`,"file":"f","term":3}`), "/d")
	if err != nil || server.DocumentFile != "/d/f" || server.Term != 3 || server.KeysFile != "/d/k.json" {
		t.Errorf("%+v, %v", server, err)
	}
}
