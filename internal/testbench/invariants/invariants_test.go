package invariants

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Each breach is found, and what looks like it and is none is not. Guards every experiment and test that relies on the
// checker against one that sees nothing.
func TestFinds(t *testing.T) {
	taken := Event{Kind: Taken, Request: "r", Balancer: "n1", Until: 100 * ms}
	patient := Event{Kind: Taken, Request: "r", Balancer: "n1", Until: 2 * time.Second}
	for name, v := range map[string]struct {
		events []Event
		broken string // empty: nothing
		twice  int
		back   int
		lost   int
	}{
		"served": {[]Event{taken, {Kind: Began, Request: "r", Server: "a"}, {At: 9 * ms, Kind: Answered, Request: "r", Text: "UP"}},
			"", 0, 0, 0},
		"twice answered": {[]Event{taken, {Kind: Answered, Request: "r"}, {Kind: Answered, Request: "r"}}, "second final", 0, 0, 0},
		"late":           {[]Event{taken, {At: 151 * ms, Kind: Answered, Request: "r"}}, "given up", 0, 0, 0},
		"just in time":   {[]Event{taken, {At: 149 * ms, Kind: Answered, Request: "r"}}, "", 0, 0, 0},
		"never":          {[]Event{taken}, "never answered", 0, 0, 0},
		"cut":            {[]Event{taken, {Kind: Cut, Request: "r"}}, "cut off", 0, 0, 0},
		"left":           {[]Event{taken, {Kind: Left, Request: "r"}, {Kind: Cut, Request: "r"}}, "", 0, 0, 0},
		"left too late":  {[]Event{taken, {At: 151 * ms, Kind: Left, Request: "r"}}, "no answer", 0, 0, 0},
		"killed":         {[]Event{taken, {Kind: Killed, Balancer: "n1"}, {Kind: Cut, Request: "r"}}, "", 0, 0, 0},
		"killed before":  {[]Event{{Kind: Killed, Balancer: "n1"}, taken, {Kind: Cut, Request: "r"}}, "", 0, 0, 0},
		"started again": {[]Event{{Kind: Killed, Balancer: "n1"}, {Kind: Fresh, Balancer: "n1"}, taken, {Kind: Cut, Request: "r"}},
			"cut off", 0, 0, 0},
		"two out": {[]Event{{Kind: Began, Request: "r", Server: "a"}, {Kind: Began, Request: "r", Server: "b"}},
			"beside another", 0, 0, 0},
		"seen to end late": {[]Event{{Kind: Began, Request: "r", Server: "a"}, {Kind: Began, Request: "r", Server: "b"},
			{At: 40 * ms, Kind: Ended, Request: "r", Server: "a"}}, "", 0, 0, 0},
		"one after the other": {[]Event{{Kind: Began, Request: "r", Server: "a"}, {Kind: Ended, Request: "r", Server: "a"},
			{Kind: Began, Request: "r", Server: "b"}}, "", 0, 0, 0},
		"drained": {[]Event{{Kind: Told, Balancer: "n1", Server: "a"}, patient, {At: 551 * ms, Kind: Began, Request: "r", Server: "a"},
			{At: 551 * ms, Kind: Left, Request: "r"}}, "told that it drains", 0, 0, 0},
		"another was told": {[]Event{{Kind: Told, Balancer: "n2", Server: "a"}, patient, {At: 551 * ms, Kind: Began, Request: "r", Server: "a"},
			{At: 551 * ms, Kind: Left, Request: "r"}}, "", 0, 0, 0},
		"an earlier process was told": {[]Event{{Kind: Told, Balancer: "n1", Server: "a"}, {Kind: Fresh, Balancer: "n1"}, patient,
			{At: 551 * ms, Kind: Began, Request: "r", Server: "a"}, {At: 551 * ms, Kind: Left, Request: "r"}}, "", 0, 0, 0},
		"back": {[]Event{{Kind: Told, Balancer: "n1", Server: "a"}, {Kind: Ready, Balancer: "n1", Server: "a"}, patient,
			{At: time.Second, Kind: Began, Request: "r", Server: "a"}, {At: time.Second, Kind: Left, Request: "r"}}, "", 0, 0, 0},
		"fell": {[]Event{{Kind: Fell, Server: "a"}}, "pushed over", 0, 0, 0},
		"two places": {[]Event{{Kind: Attached, Session: "s", Epoch: 1, Server: "a"},
			{Kind: Attached, Session: "s", Epoch: 2, Server: "b"}}, "", 1, 0, 0},
		"moved": {[]Event{{Kind: Attached, Session: "s", Epoch: 1, Server: "a"}, {Kind: Detached, Session: "s", Server: "a"},
			{Kind: Attached, Session: "s", Epoch: 2, Server: "b"}}, "", 0, 0, 0},
		"one epoch twice": {[]Event{{Kind: Attached, Session: "s", Epoch: 1, Server: "a"}, {Kind: Detached, Session: "s", Server: "a"},
			{Kind: Attached, Session: "s", Epoch: 1, Server: "b"}}, "", 1, 0, 0},
		"epoch back": {[]Event{{Kind: Attached, Session: "s", Epoch: 3, Server: "a"}, {Kind: Detached, Session: "s", Server: "a"},
			{Kind: Attached, Session: "s", Epoch: 2, Server: "b"}}, "", 0, 1, 0},
		"moves lost": {[]Event{{Kind: Acked, Session: "s", Position: 5}, {Kind: Resumed, Session: "s", Position: 4}}, "", 0, 0, 1},
		"moves kept": {[]Event{{Kind: Acked, Session: "s", Position: 5}, {Kind: Resumed, Session: "s", Position: 6}}, "", 0, 0, 0},
		"stranded":   {[]Event{{Kind: Stranded, Session: "s"}}, "", 0, 0, 1},
	} {
		c := New(Figures{DrainGrace: 500 * ms, Slack: 50 * ms})
		for _, e := range v.events {
			c.Add(e)
		}
		r := c.Report(time.Second)
		broken := strings.Join(r.Broken, "; ")
		if (broken == "") != (v.broken == "") || !strings.Contains(broken, v.broken) || r.AttachedTwice != v.twice ||
			r.EpochsBack != v.back || r.Lost != v.lost {
			t.Errorf("%s: %+v", name, r)
		}
	}
}
