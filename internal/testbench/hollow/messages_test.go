package hollow

import (
	"encoding/json"
	"testing"
	"time"
)

// The JSON keys of the messages between an experiment and its workers do not change when a Go field is renamed.
func TestMessageEncoding(t *testing.T) {
	event := Event{At: 1, Kind: VersionApplied, Node: 2, Version: 3, Snapshot: true, Digest: 5}
	usage := &Usage{CPU: time.Second, Interval: 2 * time.Second, Running: 3, Connected: 4, ResidentMB: 1.5}
	for name, v := range map[string]struct {
		message any
		want    string
	}{
		"setup": {
			Setup{KnownListPath: "/known.json", ConfigPaths: map[string]string{"a": "/a.json"}, FullEngine: true},
			`{"Known":"/known.json","Settings":{"a":"/a.json"},"Full":true}`,
		},
		"command": {
			Command{
				Start:  []NodeSpec{{ID: 1, Zone: "a", Address: "127.0.0.1:1", NoKnownList: true}},
				Stop:   []int{2},
				Finish: true,
			},
			`{"Start":[{"Balancer":1,"Zone":"a","Address":"127.0.0.1:1","Cold":true}],"Stop":[2],"End":true}`,
		},
		"empty command": {Command{}, `{"Start":null,"Stop":null,"End":false}`},
		"empty report":  {Report{}, `{}`},
		"report": {
			Report{Events: []Event{event}, Usage: usage, Done: true},
			`{"Events":[{"At":1,"Kind":4,"Balancer":2,"Version":3,"Whole":true,"Digest":5}],` +
				`"Usage":{"CPU":1000000000,"Over":2000000000,"Hollow":3,"Begun":4,"RSS":1.5},"Done":true}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := json.Marshal(v.message)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != v.want {
				t.Errorf("encoded as %s, want %s", got, v.want)
			}
		})
	}
}
