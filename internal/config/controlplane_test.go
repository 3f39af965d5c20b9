package config

import (
	"strings"
	"testing"
)

const validControlKeys = `"region":"a","site":"x","keys":"k.json","state":"s.db"`

// The section's errors name key and value; paths count from its file's folder; without it nothing is on.
func TestControlPlaneSection(t *testing.T) {
	machine := func(address, region string) string { return `{"address":"` + address + `","region":"` + region + `"}` }
	one := `"machines":[` + machine("127.0.0.1:1", "a") + `]`
	for text, want := range map[string]string{
		`{"control":{` + validControlKeys + `}}`:                                                                                      "control.machines: is missing",
		`{"control":{` + one + `}}`:                                                                                                   "control.region: is missing",
		`{"control":{` + one + `,"region":"a","keys":"k"}}`:                                                                           "control.state: is missing",
		`{"control":{` + one + `,"region":"a","keys":"k","state":"s"}}`:                                                               `control.site: ""`,
		`{"control":{"machines":[` + machine("x", "a") + `],` + validControlKeys + `}}`:                                               `control.machines[0].address: "x"`,
		`{"control":{"machines":[` + machine("127.0.0.1:1", "") + `],` + validControlKeys + `}}`:                                      "control.machines[0].region",
		`{"control":{"machines":[` + machine("127.0.0.1:1", "a") + `,` + machine("127.0.0.1:1", "a") + `],` + validControlKeys + `}}`: "control.machines[1].address",
		`{"rooms":{"file":"r.json"},"control":{` + one + `,` + validControlKeys + `}}`:                                                "control, rooms",
		`{"control":{"region":7}}`:                                                                                                    "control.region: a string",
	} {
		if _, err := ParseFronts([]byte(text), nil, "/d"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
	f, err := ParseFronts([]byte(`{"control":{`+one+`,`+validControlKeys+`}}`), nil, "/d")
	if err != nil || len(f.ControlPlane.Servers) != 1 || f.ControlPlane.KeysFile != "/d/k.json" || f.ControlPlane.StateFile != "/d/s.db" {
		t.Errorf("%+v, %v", f.ControlPlane, err)
	}
	if f, err := ParseFronts([]byte(`{}`), nil, "/d"); err != nil || len(f.ControlPlane.Servers) != 0 {
		t.Errorf("%+v, %v", f.ControlPlane, err)
	}
}

// A control machine writes or follows, and its errors name key and value.
func TestParseControlServer(t *testing.T) {
	follow := `"machines":[{"address":"127.0.0.1:2","region":"a"}]`
	for text, want := range map[string]string{
		`{`: "EOF", `{"x":1}`: `"x"`, `{"listen":"x"}`: `listen: "x"`,
		`{"listen":"127.0.0.1:1",` + validControlKeys + `}`:                                "file, machines",
		`{"listen":"127.0.0.1:1",` + validControlKeys + `,` + follow + `,"file":"f"}`:      "file, machines",
		`{"listen":"127.0.0.1:1",` + validControlKeys + `,"file":"f"}`:                     "term: 0",
		`{"listen":"127.0.0.1:1",` + validControlKeys + `,` + follow + `,"term":2}`:        "term: 2",
		`{"listen":"127.0.0.1:2",` + validControlKeys + `,` + follow + `}`:                 "machines[0].address",
		`{"listen":"127.0.0.1:1",` + validControlKeys + `,"file":"f","term":1} {}`:         "more follows",
		`{"listen":"127.0.0.1:1","region":"a","site":"x","state":"s","file":"f","term":1}`: "keys: is missing",
	} {
		if _, err := parseControlServer([]byte(text), "/d"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
	m, err := parseControlServer([]byte(`{"listen":"127.0.0.1:1",`+validControlKeys+`,"file":"f","term":3}`), "/d")
	if err != nil || m.DocumentFile != "/d/f" || m.Term != 3 || m.KeysFile != "/d/k.json" {
		t.Errorf("%+v, %v", m, err)
	}
}
