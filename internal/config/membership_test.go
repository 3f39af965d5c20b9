package config

import (
	"strings"
	"testing"
	"time"
)

const validMembership = `{"name":"b-17","listen":"10.0.0.17:7946","zone":"a","region":"x","seeds":["10.0.0.1:7946"],
"keys":"membership-keys.json","via":{"10.0.0.1:7946":"127.0.0.1:9001"}}`

func TestParseMembershipSection(t *testing.T) {
	f, err := ParseFronts([]byte(`{"membership":`+validMembership+`}`), nil, "/etc/balancer")
	if err != nil {
		t.Fatal(err)
	}
	m := f.Membership
	if m.Name != "b-17" || m.Listen.String() != "10.0.0.17:7946" || m.KeysFile != "/etc/balancer/membership-keys.json" ||
		m.MaxPartitionDuration != time.Hour || len(m.Seeds) != 1 || m.DialAddresses[m.Seeds[0]].String() != "127.0.0.1:9001" {
		t.Errorf("membership %+v", m)
	}
}

// An error names the key and the value that it rejects.
func TestMembershipSectionReportsInvalidKeys(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"b-17"`, `""`, `membership.name: ""`},
		{`"b-17"`, `"b 17"`, `membership.name: "b 17"`},
		{`"b-17"`, `"` + strings.Repeat("n", 65) + `"`, `membership.name`},
		{`"zone":"a"`, `"zone":""`, `membership.zone: ""`},
		{`"region":"x"`, `"region":""`, `membership.region: ""`},
		{`10.0.0.17:7946`, `0.0.0.0:7946`, `membership.listen: "0.0.0.0:7946"`},
		{`10.0.0.17:7946`, `10.0.0.17`, `membership.listen: "10.0.0.17"`},
		{`["10.0.0.1:7946"]`, `["seed"]`, `membership.seeds[0]: "seed"`},
		{`"membership-keys.json"`, `""`, `membership.keys: required setting is missing`},
		{`{"10.0.0.1:7946":"127.0.0.1:9001"}`, `{"a":"127.0.0.1:9001"}`, `membership.via: "a"`},
		{`"127.0.0.1:9001"`, `"b"`, `membership.via["10.0.0.1:7946"]: "b"`},
		{`"zone":"a"`, `"zone":"a","partition_hold_s":5`, `membership.partition_hold_s: 5`},
	} {
		t.Run(test.want, func(t *testing.T) {
			text := strings.Replace(validMembership, test.old, test.new, 1)
			_, err := ParseFronts([]byte(`{"membership":`+text+`}`), nil, "")
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: error %v, want one that contains %s", test.new, err, test.want)
			}
		})
	}
}
