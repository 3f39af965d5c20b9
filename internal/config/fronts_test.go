package config

import (
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

const validFronts = `{"quic":{"listen":"127.0.0.1:4433","class":"solo-play","config_id":0,"nonce_length":8,
"id_key":"8f95f09245765f80256934e50c66207f","reset_key":"000102030405060708090a0b0c0d0e0f"},
"snmp":{"listen":"127.0.0.1:1161","community":"x"},
"resume":{"keys":"k.json","site":"armor","max_moves":7},"rooms":{"file":"r.json"}}`

// A fronts file configures the features whose sections it has, with defaults and with paths relative to its folder. A
// file without sections switches nothing on.
func TestParseFronts(t *testing.T) {
	classes := []decide.Class{{Name: "solo-play"}}
	f, err := ParseFronts([]byte(validFronts), classes, "/etc")
	if err != nil {
		t.Fatal(err)
	}
	if f.QUIC.IdleTimeout != 30*time.Second || f.QUIC.MaxFlows != defaultMaxFlows || f.SNMP.Community != "x" {
		t.Errorf("QUIC %+v, SNMP %+v", f.QUIC, f.SNMP)
	}
	if f.Sessions.KeysFile != "/etc/k.json" || f.Sessions.StateTimeout != 400*time.Millisecond ||
		f.Sessions.MaxStateBytes != defaultMaxStateBytes || f.Sessions.MaxMigrations != 7 {
		t.Errorf("sessions %+v", f.Sessions)
	}
	if f.EndpointFile != "/etc/r.json" {
		t.Errorf("endpoint file %s", f.EndpointFile)
	}
	f, err = ParseFronts([]byte(`{}`), classes, "/etc")
	if err != nil || f.QUIC.Listen != "" || f.SNMP.Listen != "" || f.Sessions.KeysFile != "" {
		t.Errorf("an empty file: %+v, %v; want everything off", f, err)
	}
}

// An error names the key and, unless it is a secret, the value that it rejects.
func TestParseFrontsReportsInvalidKeys(t *testing.T) {
	classes := []decide.Class{{Name: "solo-play"}}
	for _, test := range []struct{ old, new, want string }{
		{`127.0.0.1:4433`, `x`, `quic.listen: "x"`},
		{`solo-play`, `none`, `quic.class: "none"`},
		{`"config_id":0`, `"config_id":7`, "quic.config_id: 7"},
		{`"nonce_length":8`, `"nonce_length":3`, "quic.nonce_length: 3"},
		{`8f95`, `8f`, "quic.id_key"},
		{`000102`, ``, "quic.reset_key"},
		{`127.0.0.1:1161`, `x`, `snmp.listen: "x"`},
		{`"community":"x"`, `"community":""`, "snmp.community"},
		{`"nonce_length":8`, `"idle_s":-1`, "quic.idle_s: -1"},
		{`"site":"armor"`, `"site":""`, `resume.site: ""`},
		{`"max_moves":7`, `"max_moves":-1`, "resume.max_moves: -1"},
		{`"max_moves":7`, `"token_life_s":5`, "resume.token_life_s: 5"},
		{`"max_moves":7`, `"state_wait_s":11`, "resume.state_wait_s: 11"},
		{`"max_moves":7`, `"max_state_bytes":1048577`, "resume.max_state_bytes: 1048577"},
		{`"max_moves":7`, `"max_bytes_in_flight":9`, "resume.max_bytes_in_flight: 9"},
		{`"max_moves":7`, `"max_moves":"x"`, "resume.max_moves"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := ParseFronts([]byte(strings.Replace(validFronts, test.old, test.new, 1)), classes, "/etc")
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s in place of %s: error %v, want one that contains %s", test.new, test.old, err, test.want)
			}
		})
	}
}
