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
	if c.Name != "n3" || len(c.KnownEndpoints) != 1 || c.KnownGeneration != 41 || c.MemoryMB != 192 {
		t.Errorf("configuration %+v", c)
	}
	settings := c.Settings
	if settings.Seed != 0x8c1f30d27a5be964 || !settings.WatchList || !settings.GroupAffinity ||
		settings.ConnectTimeout != 60*time.Millisecond || settings.MaxRetryAfter != 1500*time.Millisecond {
		t.Errorf("settings %+v", settings)
	}
	class := settings.Classes[0]
	if class.LatencyObjective != 300*time.Millisecond || class.MessageLatencyObjective != 60*time.Millisecond ||
		class.Idempotency != decide.Idempotent {
		t.Errorf("request class %+v", class)
	}
	if c.ShutdownBudget != 1600*time.Millisecond { // client timeout 1.2 s plus killDelay minus exitMargin
		t.Errorf("shutdown budget %v", c.ShutdownBudget)
	}
	c, err = Parse([]byte(validConfig), func(key string) string { return map[string]string{"PROXY_NAME": "n9"}[key] })
	if err != nil || c.Name != "n9" || c.Management != "" {
		t.Errorf("PROXY_NAME is ignored, or there is a management address: %v", err)
	}
}

// An error names the key and the value that it rejects.
func TestParseReportsInvalidKeys(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
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
		{`"fall_s":1`, `"fall_s":-1`, "settings.rules.fall_s: -1 is out of range: expected 0 to"},
		{`"fall_s":1`, `"fall_s":1e300`, "settings.rules.fall_s: 1e+300"},
		{`"fall_s":1`, `"cold_share":1.5`, "settings.rules.cold_share: 1.5 is out of range: expected 0 to 1"},
		{`"balancers":3`, `"balancers":-3`, "settings.balancers: -3"},
		{`"balancers":3`, `"balancers":1000000000`, "settings.balancers: 1e+09"},
		{`"balancers":3`, `"balancers":2.5`, "settings.balancers"},
		{`"aim_s":0.3`, `"aim_s":1e9`, "settings.profiles[0].aim_s: 1e+09"},
		{`"give_up_s":1.2`, `"give_up_s":-2`, "settings.profiles[0].give_up_s: -2"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validConfig, test.old, test.new, 1)), emptyEnvironment)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s in place of %s: error %v, want one that contains %s", test.new, test.old, err, test.want)
			}
		})
	}
}

// The fleet size may be missing or 0. The decision module then treats the balancer as the only one.
func TestParseWithoutFleetSize(t *testing.T) {
	for _, setting := range []string{`"balancers":0,`, ``} {
		c, err := Parse([]byte(strings.Replace(validConfig, `"balancers":3,`, setting, 1)), emptyEnvironment)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decide.New(c.Settings); err != nil || c.Settings.Balancers != 0 {
			t.Errorf("setting %q: %d balancers, error %v", setting, c.Settings.Balancers, err)
		}
	}
}
