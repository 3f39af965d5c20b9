package config

import (
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1100},
"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.1.0.18:9000","zone":"a",
"lifecycle":"active","weight":1.0,"startedAtMs":0}]},
"settings":{"zone":"a","areas":["a","b"],"balancers":3,"membership_mode":"subscribe",
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":1.2,"repeat":"idempotent","key_scope":"all","window_s":5}],
"tenants":[{"name":"familles"}],
"limits":{"connect_timeout_s":0.06,"max_retry_after_s":1.5,"retry_after":true,"may_probe":true,"most_tries":3},
"rules":{"drain_grace_s":0.5,"cold_share":0.37,"cold_s":7.7,"fall_multiple":4,"fall_s":1,"must_ask_in_s":10},
"penalties":{"probe":0.0018,"moves":0.019,"cross_zone":0.16},
"specifics":{"groups":true,"message_aim_s":[0.06]},"unheard_of":{"x":1}}}`

func emptyEnvironment(string) string { return "" }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	class := c.Settings.Classes[0]
	if c.Name != "n3" || len(c.KnownEndpoints) != 1 || c.KnownGeneration != 41 || c.MemoryMB != 192 ||
		c.Settings.Seed != 0x8c1f30d27a5be964 || !c.Settings.WatchList || !c.Settings.GroupAffinity ||
		class.LatencyObjective != 300*time.Millisecond || class.MessageLatencyObjective != 60*time.Millisecond || class.Idempotency != decide.Idempotent ||
		c.Settings.ConnectTimeout != 60*time.Millisecond || c.Settings.MaxRetryAfter != 1500*time.Millisecond {
		t.Errorf("%+v", c)
	}
	if c.ShutdownBudget != 1600*time.Millisecond { // 1.2 s and 0.7 s until SIGKILL, less the spare
		t.Errorf("stop budget %v", c.ShutdownBudget)
	}
	c, err = Parse([]byte(validConfig), func(key string) string { return map[string]string{"PROXY_NAME": "n9"}[key] })
	if err != nil || c.Name != "n9" || c.Management != "" {
		t.Errorf("PROXY_NAME is not taken, or management is on: %v", err)
	}
}

// The management address is off unless one is named; the variable comes before the file. Its callers' descriptors come
// out of the clients' budget once, at the start.
func TestManagementAddress(t *testing.T) {
	plain, _ := Parse([]byte(validConfig), emptyEnvironment)
	named := strings.Replace(validConfig, `"seed"`, `"management":"127.0.0.4:15000","seed"`, 1)
	c, err := Parse([]byte(named), emptyEnvironment)
	if err != nil || c.Management != "127.0.0.4:15000" || c.MaxManagementConns < 1 || plain.ConnDescriptors-c.ConnDescriptors != managementDescriptors {
		t.Errorf("from the file: %+v, %v", c, err)
	}
	c, err = Parse([]byte(named), func(key string) string {
		return map[string]string{"PROXY_MANAGEMENT": "127.0.0.5:15000"}[key]
	})
	if err != nil || c.Management != "127.0.0.5:15000" {
		t.Errorf("from the environment: %+v, %v", c, err)
	}
	_, err = Parse([]byte(strings.Replace(named, "127.0.0.4:15000", "here", 1)), emptyEnvironment)
	if err == nil || !strings.Contains(err.Error(), `management: "here"`) {
		t.Errorf("a faulty one: %v", err)
	}
}

// The smallest limits that a deployment gives are enough, and the parts stay within them.
func TestDescriptorBudget(t *testing.T) {
	for _, sockets := range []string{"256", "384", "1100"} {
		c, err := Parse([]byte(strings.Replace(validConfig, "1100", sockets, 1)), emptyEnvironment)
		if err != nil {
			t.Fatal(err)
		}
		third := c.DescriptorLimit / 3 // what usual clients may hold; each has a dial
		if c.ConnDescriptors > c.DescriptorLimit-spareDescriptors-c.MaxProbeConns || c.ConnDescriptors-c.DialReserve-2*c.MaxClients < minRejectDescriptors || c.MaxClients < third || 2*c.MaxClients > c.ConnDescriptors {
			t.Errorf("%s descriptors: %+v", sockets, c)
		}
	}
	c, _ := Parse([]byte(validConfig), emptyEnvironment)
	if err := c.ReserveFlows(Fronts{QUIC: QUIC{Listen: "x", MaxFlows: 100}}); err != nil || c.ConnDescriptors != 1100-spareDescriptors-maxProbeConns-100 {
		t.Errorf("with flows: %+v, %v", c, err)
	}
	if err := c.ReserveFlows(Fronts{QUIC: QUIC{Listen: "x", MaxFlows: 600}}); err == nil || !strings.Contains(err.Error(), "quic.max_flows: 600") {
		t.Errorf("too many flows: %v", err)
	}
}

// Two processes that serve beside each other stay within the limits together, spare descriptors counted for both.
func TestProcessLimitsWhileTwoProcessesRun(t *testing.T) {
	for _, sockets := range []string{"384", "472", "1100"} {
		c, err := Parse([]byte(strings.Replace(strings.Replace(validConfig, "1100", sockets, 1), `"seed"`, `"management":"127.0.0.4:1","seed"`, 1)), emptyEnvironment)
		if err != nil {
			t.Fatal(err)
		}
		one, two := c.ProcessLimits(false), c.ProcessLimits(true)
		each := c.DescriptorLimit - two.ReservedDescriptors // what a process may hold in all
		if one.ReservedDescriptors != 0 || one.MaxClients != c.MaxClients || 2*each > c.DescriptorLimit || two.MemoryBytes*2 > one.MemoryBytes ||
			2*two.MaxClients > c.ConnDescriptors-two.ReservedDescriptors || two.MaxClients < minConnDescriptors/4 {
			t.Errorf("%s descriptors: one %+v, two %+v of %+v", sockets, one, two, c)
		}
	}
}

// Errors name the faulty key and its value.
func TestParseReportsInvalidKeys(t *testing.T) {
	for _, v := range []struct{ old, new, want string }{
		{`"n3"`, `""`, "name"},
		{`127.0.0.4:9000`, `here`, `listen: "here"`},
		{`127.2.0.1:8500`, ``, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, `seed: "xyz"`},
		{`"sockets":1100`, `"sockets":10`, "limits.sockets: 10"},
		{`"cores":1.0`, `"cores":"one"`, "limits.cores"},
		{`"active"`, `"asleep"`, `known: list: instances[0]: lifecycle: unknown value "asleep"`},
		{`"zone":"a","areas"`, `"zone":"z","areas"`, `settings.zone: "z"`},
		{`"subscribe"`, `"guess"`, `settings.membership_mode: "guess"`},
		{`"aim_s":0.3`, `"aim_s":0`, "settings.profiles[0].aim_s: 0"},
		{`"idempotent"`, `"maybe"`, `settings.profiles[0].repeat: unknown value "maybe"`},
		{`"fall_s":1`, `"fall_s":"x"`, "settings.rules.fall_s"},
		{`"fall_s":1`, `"fall_s":-1`, "settings.rules.fall_s: -1 is not from 0"},
		{`"fall_s":1`, `"fall_s":1e300`, "settings.rules.fall_s: 1e+300"},
		{`"fall_s":1`, `"cold_share":1.5`, "settings.rules.cold_share: 1.5 is not from 0 to 1"},
		{`"balancers":3`, `"balancers":-3`, "settings.balancers: -3"},
		{`"balancers":3`, `"balancers":1000000000`, "settings.balancers: 1e+09"},
		{`"balancers":3`, `"balancers":2.5`, "settings.balancers"},
		{`"aim_s":0.3`, `"aim_s":1e9`, "settings.profiles[0].aim_s: 1e+09"},
		{`"give_up_s":1.2`, `"give_up_s":-2`, "settings.profiles[0].give_up_s: -2"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, v.old, v.new, 1)), emptyEnvironment)
		if err == nil || !strings.Contains(err.Error(), v.want) {
			t.Errorf("%s for %s: %v, want it to name %s", v.new, v.old, err, v.want)
		}
	}
}

// How many balancers there are may be left out, or be 0: each then goes by itself.
func TestParseWithoutFleetSize(t *testing.T) {
	for _, v := range []string{`"balancers":0,`, ``} {
		c, err := Parse([]byte(strings.Replace(validConfig, `"balancers":3,`, v, 1)), emptyEnvironment)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decide.New(c.Settings); err != nil || c.Settings.Balancers != 0 {
			t.Errorf("%q: %d balancers, %v", v, c.Settings.Balancers, err)
		}
	}
}

const validFronts = `{"quic":{"listen":"127.0.0.1:4433","class":"solo-play","config_id":0,"nonce_length":8,
"id_key":"8f95f09245765f80256934e50c66207f","reset_key":"000102030405060708090a0b0c0d0e0f"},
"snmp":{"listen":"127.0.0.1:1161","community":"x"},"resume":{"keys":"k.json","site":"armor","max_moves":7},"rooms":{"file":"r.json"}}`

func TestParseFronts(t *testing.T) {
	classes := []decide.Class{{Name: "solo-play"}}
	f, err := ParseFronts([]byte(validFronts), classes, "/etc")
	if err != nil || f.QUIC.IdleTimeout != 30*time.Second || f.QUIC.MaxFlows != defaultMaxFlows || f.SNMP.Community != "x" || f.Sessions.KeysFile != "/etc/k.json" || f.EndpointFile != "/etc/r.json" ||
		f.Sessions.StateTimeout != 400*time.Millisecond || f.Sessions.MaxStateBytes != defaultMaxStateBytes || f.Sessions.MaxMigrations != 7 {
		t.Fatalf("%+v, %v", f, err)
	}
	if f, err := ParseFronts([]byte(`{}`), classes, "/etc"); err != nil || f.QUIC.Listen != "" || f.SNMP.Listen != "" || f.Sessions.KeysFile != "" {
		t.Errorf("nothing switched on gives %+v, %v", f, err)
	}
	for _, v := range []struct{ old, new, want string }{
		{`127.0.0.1:4433`, `x`, `quic.listen: "x"`}, {`solo-play`, `none`, `quic.class: "none"`},
		{`"config_id":0`, `"config_id":7`, "quic.config_id: 7"}, {`"nonce_length":8`, `"nonce_length":3`, "quic.nonce_length: 3"},
		{`8f95`, `8f`, "quic.id_key"}, {`000102`, ``, "quic.reset_key"}, {`127.0.0.1:1161`, `x`, `snmp.listen: "x"`},
		{`"community":"x"`, `"community":""`, "snmp.community"}, {`"nonce_length":8`, `"idle_s":-1`, "quic.idle_s: -1"},
		{`"site":"armor"`, `"site":""`, `resume.site: ""`}, {`"max_moves":7`, `"max_moves":-1`, "resume.max_moves: -1"},
		{`"max_moves":7`, `"token_life_s":5`, "resume.token_life_s: 5"}, {`"max_moves":7`, `"state_wait_s":11`, "resume.state_wait_s: 11"},
		{`"max_moves":7`, `"max_state_bytes":1048577`, "resume.max_state_bytes: 1048577"},
		{`"max_moves":7`, `"max_bytes_in_flight":9`, "resume.max_bytes_in_flight: 9"}, {`"max_moves":7`, `"max_moves":"x"`, "resume.max_moves"},
	} {
		_, err := ParseFronts([]byte(strings.Replace(validFronts, v.old, v.new, 1)), classes, "/etc")
		if err == nil || !strings.Contains(err.Error(), v.want) {
			t.Errorf("%s for %s: %v, want it to name %s", v.new, v.old, err, v.want)
		}
	}
}
