package simwire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

// createLine is a CREATE message with the settings of a small deployment. Tests add or change fields.
const createLine = "CREATE\twho=3\tentropy=51\tareas=north,south\tbalancers=2\tlimits.connect_timeout_s=0.1" +
	"\tlimits.max_retry_after_s=1.5\tlimits.may_probe=true\tlimits.most_tries=3\tlimits.retry_after=true" +
	"\tmembership_mode=subscribe\tpenalties.probe=0.002\tpenalties.moves=0.02\tpenalties.cross_zone=0.03" +
	"\tprofiles.count=2\tprofiles.0.aim_s=0.3\tprofiles.0.give_up_s=1.8\tprofiles.0.name=feed" +
	"\tprofiles.0.repeat=idempotent\tprofiles.1.aim_s=0.5\tprofiles.1.name=order\tprofiles.1.repeat=deduplicated" +
	"\tprofiles.1.key_scope=zone\tprofiles.1.window_s=5.0\trules.cold_s=8.8\trules.cold_share=0.32" +
	"\trules.drain_grace_s=0.5\trules.fall_multiple=3.0\trules.fall_s=3.0\trules.must_ask_in_s=10.0" +
	"\tspecifics.groups=true\tspecifics.message_aim_s=0.06,0.1\ttelemetry.columns=util,inflight,x0" +
	"\tunheard.of=1\tzone=north"

// recorder is a Host that records its calls.
type recorder struct {
	settings  []decide.Settings // of the created instances
	events    []decide.Event
	halted    []int           // halted instances
	instances []int           // instance of each Create and Event call
	clocks    []time.Duration // clock of each Create and Event call
}

func (r *recorder) Create(instance int, now time.Duration, s decide.Settings) error {
	r.settings = append(r.settings, s)
	r.instances, r.clocks = append(r.instances, instance), append(r.clocks, now)
	return nil
}

func (r *recorder) Halt(instance int) error {
	r.halted = append(r.halted, instance)
	return nil
}

func (r *recorder) Event(instance int, now time.Duration, ev decide.Event) error {
	if l, ok := ev.(decide.ListReceived); ok {
		l.Servers = append([]decide.Server(nil), l.Servers...) // the decoder reuses the slice
		ev = l
	}
	r.events = append(r.events, ev)
	r.instances, r.clocks = append(r.instances, instance), append(r.clocks, now)
	return nil
}

// batch returns the lines as batch 12.
func batch(lines ...string) string {
	return "FRAME\tt_s=8.41225\tn=12\n" + strings.Join(lines, "\n") + "\nCOMMIT\n"
}

// decodeAll decodes all batches and returns the host that received their messages, and the batches' numbers.
func decodeAll(in string) (*recorder, []uint64, error) {
	r, d := &recorder{}, NewDecoder(strings.NewReader(in))
	var seqs []uint64
	for {
		seq, err := d.Batch(r)
		if errors.Is(err, io.EOF) {
			return r, seqs, nil
		}
		if err != nil {
			return r, seqs, err
		}
		seqs = append(seqs, seq)
	}
}

func TestSettings(t *testing.T) {
	r, _, err := decodeAll(batch(createLine))
	if err != nil {
		t.Fatal(err)
	}
	want := decide.Settings{
		Seed: 51, Zone: "north", Zones: []string{"north", "south"}, Balancers: 2, WatchList: true, MaxAttempts: 3,
		ConnectTimeout: 100 * time.Millisecond, MaxRetryAfter: 1500 * time.Millisecond, ProbingAllowed: true,
		GroupAffinity: true,
		Classes: []decide.Class{
			{Name: "feed", LatencyObjective: 300 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond,
				ClientTimeout: 1800 * time.Millisecond},
			{Name: "order", LatencyObjective: 500 * time.Millisecond, MessageLatencyObjective: 100 * time.Millisecond,
				Idempotency: decide.IdempotentByKey,
				KeyScope:    decide.ScopeZone, DedupWindow: 5 * time.Second},
		},
		Safety: decide.SafetyLimits{DrainGrace: 500 * time.Millisecond, MaxPollInterval: 10 * time.Second,
			SlowStartInitialCapacity: 0.32,
			SlowStartDuration:        8800 * time.Millisecond, OverloadFactor: 3, OverloadWindow: 3 * time.Second},
		Costs: decide.Costs{Probe: 0.002, Migration: 0.02, CrossZone: 0.03},
	}
	if len(r.settings) != 1 || !reflect.DeepEqual(r.settings[0], want) {
		t.Fatalf("unexpected settings: %+v", r.settings)
	}
}

func TestEvents(t *testing.T) {
	const ms = time.Millisecond
	for line, want := range map[string]decide.Event{
		"DEMAND\twho=3\tid=u-1\tservice=order\tsubject=user:k\tremaining_s=0.24\tsize_hint_s=0.012" +
			"\tteam_id=g/1\tattrs=17": decide.RequestArrived{
			ID: "u-1", Class: 1, Key: "user:k", Group: "g/1", Remaining: 240 * ms, Load: 0.012, Returning: true},
		"DEMAND\twho=3\tid=u-1\tservice=feed\tremaining_s=1e-1\tsize_hint_s=0.5\tattrs=8": decide.RequestArrived{
			ID: "u-1", Remaining: 100 * ms, MidFlow: true},
		"ALREADY_OPEN\twho=3\tid=u-2\tservice=feed\tremaining_s=2\tserver=7": decide.ConnectionRestored{
			Request: decide.RequestArrived{ID: "u-2", Remaining: 2 * time.Second}, Server: 7},
		"FIRST_BYTE\twho=3\tid=u-1\tn=1\tserver=7\ttook_s=0.02": decide.Established{
			ID: "u-1", Attempt: 1, Server: 7, Elapsed: 20 * ms},
		"HEARTBEAT\twho=3\tid=u-1\tn=0\tserver=7\twhat=1\tamount=2500": decide.LoadChanged{ID: "u-1", Load: 0.0025},
		"HEARTBEAT\twho=3\tid=u-1\tn=0\tserver=7\twhat=2\tamount=35.5": decide.MessageDelayReported{
			ID: "u-1", Server: 7, Delay: 35500 * time.Microsecond},
		"DONE\twho=3\tid=u-1\trc=10\tserver=7\tn=0\tno_more=1\ttook_s=0.0185" +
			"\thealth_info=0.5,12,0.75": decide.AttemptEnded{
			ID: "u-1", Server: 7, Final: true, Elapsed: 18500 * time.Microsecond,
			Report: decide.LoadReport{Load: 0.75, Connections: 12}},
		"DONE\twho=3\tid=u-1\trc=80\tserver=7\tn=2\tno_more=0": decide.AttemptEnded{
			ID: "u-1", Attempt: 2, Server: 7, Code: decide.NotSent, Report: decide.NoLoadReport},
		"ABORTED\twho=3\tid=u-1":             decide.ClientDisconnected{ID: "u-1"},
		"FIRED\twho=3\tnonce=77":             decide.TimerFired{Token: 77},
		"TARGETS\twho=3\thow=unavailable":    decide.ListReceived{Kind: decide.ListFailed},
		"FIRED\twho=3\tunheard=x=y\tnonce=9": decide.TimerFired{Token: 9},
		"PROBE_RESULT\twho=3\tserver=4294967295\trc=40\ttook_s=0.5": decide.ProbeCompleted{
			Server: 4294967295, Code: decide.TimedOut, Elapsed: 500 * ms, Report: decide.NoLoadReport},
		"PROBE_RESULT\twho=3\tserver=9\trc=10\ttook_s=0.001\thealth_info=0.1,,1.5": decide.ProbeCompleted{
			Server: 9, Elapsed: ms, Report: decide.LoadReport{Load: 1.5, Connections: -1}},
	} {
		t.Run(line, func(t *testing.T) {
			r, batches, err := decodeAll(batch(createLine, line))
			if err != nil {
				t.Fatal(err)
			}
			if len(r.events) != 1 || !reflect.DeepEqual(r.events[0], want) {
				t.Errorf("\n got %+v\nwant %+v", r.events, want)
			}
			if r.clocks[1] != 8412250*time.Microsecond || batches[0] != 12 || r.instances[1] != 3 {
				t.Errorf("wrong clock %v, batch %v or instance %v", r.clocks, batches, r.instances)
			}
		})
	}
}

func TestOutcomeCodes(t *testing.T) {
	want := []decide.Code{decide.OK, decide.ServerError, decide.Rejected, decide.TimedOut, decide.ConnectFailed,
		decide.Reset, decide.Cancelled, decide.NotSent}
	for i, rc := range []string{"10", "20", "30", "40", "50", "60", "70", "80"} {
		t.Run(rc, func(t *testing.T) {
			r, _, err := decodeAll(batch(createLine, "PROBE_RESULT\twho=3\tserver=1\trc="+rc))
			if err != nil || r.events[0].(decide.ProbeCompleted).Code != want[i] {
				t.Errorf("wrong outcome code: events %v, error %v", r.events, err)
			}
		})
	}
}

func TestIgnoredMessages(t *testing.T) {
	r, seqs, err := decodeAll("FRAME\tt_s=1\tn=1\nCOMMIT\n\n" +
		batch(createLine, "MEMO\twho=3\tfrom=1\tcontents=aGk=",
			"HEARTBEAT\twho=3\tid=x\tn=0\tserver=1\twhat=9\tamount=1"))
	if err != nil || len(r.events) != 0 || len(seqs) != 2 {
		t.Fatalf("events %v, batches %v, error %v; want no event from two batches", r.events, seqs, err)
	}
}

// A list replaces an earlier list with the same number, and an event that refers to the earlier list keeps its entries
// until the host has handled it.
func TestListNumbersAreReused(t *testing.T) {
	manifest := func(server string) string {
		return "MANIFEST\tpage=0\tlines=1\nENTRY\tunits=1.5\tcondition=fading\taz=south\tcell=4\tserver=" + server +
			"\tgeneration_hw=std\tcame_up_s=6.1"
	}
	r, _, err := decodeAll(batch(createLine, manifest("8"), "TARGETS\twho=3\tgeneration=1\tpage=0\thow=restored",
		manifest("9"), "TARGETS\twho=3\tgeneration=2\tpage=0\thow=replace"))
	if err != nil {
		t.Fatal(err)
	}
	first := decide.Server{ID: 8, Zone: "south", Cell: 4, State: decide.Draining, Weight: 1.5,
		Started: 6100 * time.Millisecond}
	second := first
	second.ID = 9
	want := []decide.Event{
		decide.ListReceived{Kind: decide.ListRestored, Servers: []decide.Server{first}},
		decide.ListReceived{Kind: decide.ListSnapshot, Servers: []decide.Server{second}},
	}
	if !reflect.DeepEqual(r.events, want) {
		t.Fatalf("unexpected events: %+v", r.events)
	}
}

func TestHaltThenCreateInOneBatch(t *testing.T) {
	r, _, err := decodeAll(batch(createLine, "HALT\twho=3", createLine, "FIRED\twho=3\tnonce=1"))
	if err != nil || len(r.settings) != 2 || len(r.halted) != 1 || len(r.events) != 1 {
		t.Fatalf("%d instances created, halted %v, %d events, error %v", len(r.settings), r.halted, len(r.events), err)
	}
}

func TestLongBatchesAndLines(t *testing.T) {
	lines := []string{createLine}
	long := strings.Repeat("x", 300_000)
	for range 5000 {
		lines = append(lines, "ABORTED\twho=3\tid=u")
	}
	lines = append(lines, "ABORTED\twho=3\tid="+long)
	r, _, err := decodeAll(batch(lines...))
	if err != nil || len(r.events) != 5001 || len(r.events[5000].(decide.ClientDisconnected).ID) != len(long) {
		t.Fatalf("%d events, error %v", len(r.events), err)
	}
}

// withMessage returns a batch with createLine and one more line.
func withMessage(line string) string { return batch(createLine, line) }

// withSettings returns a batch with createLine, in which it replaces one text.
func withSettings(old, new string) string { return batch(strings.Replace(createLine, old, new, 1)) }

// invalidInputs are the invalid inputs and the texts that their error messages must contain.
var invalidInputs = map[string][]string{
	withMessage("=5\twho=3"): {"batch 12, line 3",
		"unknown message"},
	withMessage("\twho=3"): {"line 3",
		"without a message name"},
	withMessage("SNARK\twho=3"): {"line 3", "unknown message",
		"SNARK"},
	withMessage("FIRED\twho=4\tnonce=1"): {"line 3", "unknown instance",
		"4"},
	withMessage("FIRED\twho=3"):                       {"FIRED", "nonce", "missing"},
	withMessage("FIRED\tnonce=1"):                     {"FIRED", "who", "missing"},
	withMessage("FIRED\twho=3\tnonce=-1"):             {"nonce", "a whole number", "-1"},
	withMessage("FIRED\twho=3\tnonce"):                {"expected name=value"},
	withMessage("DEMAND\twho=3\tid=u\tremaining_s=1"): {"service", "missing"},
	withMessage("DEMAND\twho=3\tid=u\tservice=x\tremaining_s=1"): {"service",
		"the name of a class in the settings"},
	withMessage("DEMAND\twho=3\tid=u\tservice=feed"): {"remaining_s", "missing"},
	withMessage("DEMAND\twho=3\tid=u\tservice=feed\tremaining_s=soon"): {"remaining_s", "seconds",
		"soon"},
	withMessage("DEMAND\twho=3\tid=u\tservice=feed\tremaining_s=1\tsize_hint_s=NaN"): {"size_hint_s", "a number",
		"NaN"},
	withMessage("DONE\twho=3\tid=u\trc=15\tserver=1\tn=0"):                  {"rc", "10, 20", "15"},
	withMessage("DONE\twho=3\tid=u\trc=90\tserver=1\tn=0"):                  {"rc", "90"},
	withMessage("DONE\twho=3\tid=u\trc=10\tserver=5000000000\tn=0"):         {"server", "5000000000"},
	withMessage("DONE\twho=3\tid=u\trc=10\tserver=1\tn=0\tno_more=yes"):     {"no_more", "1 or 0"},
	withMessage("DONE\twho=3\tid=u\trc=10\tserver=1\tn=0\thealth_info=a,b"): {"health_info", "numbers"},
	withMessage("TARGETS\twho=3\thow=replace\tpage=2"):                      {"page 2", "has not been sent"},
	withMessage("TARGETS\twho=3\thow=maybe"):                                {"how", "update, replace"},
	withMessage("MANIFEST\tpage=16\tlines=0"):                               {"page 16", "0 to 15"},
	withMessage("MANIFEST\tpage=0\tlines=2\nENTRY\tcondition=on\tserver=1"): {"expected ENTRY", "COMMIT"},
	withMessage("MANIFEST\tpage=0\tlines=1\nENTRY\tcondition=up\tserver=1"): {"condition",
		"on, fading or off"},
	withMessage("MANIFEST\tpage=0\tlines=1\nENTRY\tserver=1"): {"condition", "missing"},
	"HELLO\n":                         {"expected FRAME"},
	"FRAME\tt_s=x\tn=1\n":             {"t_s", "seconds"},
	"FRAME\tt_s=1\n":                  {"n", "missing"},
	"FRAME\tt_s=1\tn=5\nFIRED\twho=3": {"batch 5, line 2", "ends within a line"},
	"FRAME\tt_s=1\tn=5\n":             {"batch 5", "expected COMMIT"},
	"FRAME\tt_s=1\tn=5":               {"ends within a line"},
	"FRAME\tt_s=1\tn=5\nMANIFEST\tpage=0\tlines=3\n":      {"batch 5", "MANIFEST of 3"},
	withSettings("entropy=51", "entropy=q"):               {"entropy", "a whole number"},
	withSettings("\tzone=north", ""):                      {"zone", "missing"},
	withSettings("rules.cold_s=8.8", "rules.cold_s=warm"): {"rules.cold_s", "a number"},
	withSettings("\trules.fall_s=3.0", ""):                {"rules.fall_s", "missing"},
	withSettings("repeat=idempotent", "repeat=often"):     {"profiles.0.repeat", "often"},
	withSettings("profiles.count=2", "profiles.count=3"):  {"profiles.2"},
	withSettings("subscribe", "telepathy"):                {"membership_mode", "telepathy"},
	withSettings("message_aim_s=0.06", "message_aim_s=x"): {"message_aim_s", "x"},
}

func TestErrorsNameLineAndExpectedInput(t *testing.T) {
	for input, want := range invalidInputs {
		end := input[max(0, len(input)-80):]
		t.Run(end, func(t *testing.T) {
			_, _, err := decodeAll(input)
			if err == nil {
				t.Fatal("invalid input was accepted")
			}
			for _, part := range want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
		})
	}
}

func TestMissingAndInvalidFieldsAreFieldErrors(t *testing.T) {
	for input, want := range map[string]FieldError{
		withMessage("FIRED\twho=3"): {"FIRED", "nonce", " is missing"},
		withMessage("TARGETS\twho=3\thow=maybe"): {"TARGETS", "how",
			": expected update, replace, restored or unavailable, found \"maybe\""},
		withSettings("subscribe", "telepathy"): {"CREATE", "membership_mode",
			": expected subscribe or automatic, found \"telepathy\""},
		withSettings("repeat=idempotent", "repeat=often"): {"CREATE", "profiles.0.repeat", ": unknown value \"often\""},
	} {
		_, _, err := decodeAll(input)
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || *fieldError != want {
			t.Errorf("got error %v, want %v", err, want)
		}
	}
}

func TestParseSecondsIsExact(t *testing.T) {
	for in, want := range map[string]time.Duration{
		"8.41225": 8412250 * time.Microsecond, "0": 0, "491022.189912": 491022189912 * time.Microsecond,
		"0.000001": time.Microsecond, "3": 3 * time.Second, "1e-05": 10 * time.Microsecond,
	} {
		if got, err := parseSeconds([]byte(in)); err != nil || got != want {
			t.Errorf("%s: got %v, error %v", in, got, err)
		}
	}
	for _, in := range []string{"", ".", "x", "1.2.3", "99999999999", "NaN", "Inf"} {
		if got, err := parseSeconds([]byte(in)); err == nil {
			t.Errorf("%q: accepted as %v", in, got)
		}
	}
}

// FuzzDecoder checks that no input makes the decoder panic, deliver a nil event or decode more batches than there are
// COMMIT texts.
func FuzzDecoder(f *testing.F) {
	f.Add(batch(createLine, "FIRED\twho=3\tnonce=77"))
	f.Add(batch(createLine, "DEMAND\twho=3\tid=u\tservice=feed\tremaining_s=1\tattrs=3\tsize_hint_s=0.1"))
	f.Add(batch(createLine, "MANIFEST\tpage=0\tlines=1\nENTRY\tcondition=on\tserver=1",
		"TARGETS\twho=3\thow=update\tpage=0"))
	f.Add("FRAME\tt_s=1\tn=1\nCOMMIT\n")
	f.Fuzz(func(t *testing.T, in string) {
		r, seqs, err := decodeAll(in) // must not panic
		if err == nil && strings.Count(in, "COMMIT") < len(seqs) {
			t.Fatalf("%d batches decoded, more than COMMIT lines in %q", len(seqs), in)
		}
		for _, ev := range r.events {
			if ev == nil {
				t.Fatal("the host received a nil event")
			}
		}
	})
}
