package main

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// runAdapter is the environment variable that makes the test binary run the adapter.
const runAdapter = "ADAPTER_UNDER_TEST"

// TestMain runs the adapter instead of the tests if runAdapter is set, so that the tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv(runAdapter) == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// adapter runs the adapter on the input and returns its output and exit status.
func adapter(t *testing.T, in string) (stdout, stderr string, status int) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAdapter+"=1")
	var out, errs bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(in), &out, &errs
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// create returns a CREATE message with the settings of a small deployment.
func create(who string) string {
	return "CREATE\twho=" + who + "\tentropy=5\tareas=north\tbalancers=1\tlimits.most_tries=2" +
		"\tmembership_mode=subscribe" +
		"\tprofiles.count=1\tprofiles.0.aim_s=0.3\tprofiles.0.name=feed\tprofiles.0.repeat=idempotent" +
		"\trules.cold_s=8\trules.cold_share=0.3\trules.drain_grace_s=0.5" +
		"\trules.fall_multiple=3\trules.fall_s=3\tzone=north\n"
}

// listing is a MANIFEST message that lists the servers 11 and 12.
const listing = "MANIFEST\tpage=0\tlines=2\n" +
	"ENTRY\tunits=1\tcondition=on\taz=north\tcell=0\tserver=11\n" +
	"ENTRY\tunits=1\tcondition=on\taz=north\tcell=0\tserver=12\n"

// frame returns a batch with the given body. n is the batch's number and its clock in seconds.
func frame(n, body string) string { return "FRAME\tt_s=" + n + "\tn=" + n + "\n" + body + "COMMIT\n" }

// A request whose connection fails at one server is attempted at the other server, and each batch gets one reply. The
// test does not know which server is first, so the last batch reports a failure at both.
func TestConversation(t *testing.T) {
	in := frame("1", "") +
		frame("2", create("3")+listing+"TARGETS\twho=3\tgeneration=1\tpage=0\thow=restored\n") +
		frame("3", "DEMAND\twho=3\tid=u-1\tservice=feed\tremaining_s=5\n") +
		frame("4", "DONE\twho=3\tid=u-1\trc=50\tserver=11\tn=0\tno_more=0\n"+
			"DONE\twho=3\tid=u-1\trc=50\tserver=12\tn=0\tno_more=0\n")
	out, errs, code := adapter(t, in)
	if code != 0 || errs != "" {
		t.Fatalf("exit status %d, standard error %q", code, errs)
	}
	replies := strings.SplitAfter(out, "\n")
	var placed []string
	next := 0
	for _, line := range replies {
		switch {
		case strings.HasPrefix(line, "PLACE\twho=3\tid=u-1\t"):
			placed = append(placed, strings.Split(line, "\t")[3])
		case strings.HasPrefix(line, "NEXT\t"):
			next++
		}
	}
	if next != 4 || !strings.HasPrefix(out, "NEXT\tn=1\n") || !strings.HasSuffix(out, "NEXT\tn=4\n") {
		t.Fatalf("unexpected replies: %q", out)
	}
	if len(placed) != 2 || placed[0] == placed[1] {
		t.Fatalf("want one attempt at each of the two servers, got %v", placed)
	}
}

// The replies of an instance are the same with and without another instance in the process.
func TestInstancesShareNothing(t *testing.T) {
	body := func(who string) string {
		return create(who) + listing + "TARGETS\twho=" + who + "\tgeneration=1\tpage=0\thow=restored\n" +
			"DEMAND\twho=" + who + "\tid=u-1\tservice=feed\tremaining_s=1\n"
	}
	one, _, _ := adapter(t, frame("1", body("3")))
	both, _, _ := adapter(t, frame("1", body("4")+body("3")))
	var of3 []string
	for _, line := range strings.SplitAfter(both, "\n") {
		if !strings.Contains(line, "who=4") {
			of3 = append(of3, line)
		}
	}
	if got := strings.Join(of3, ""); got != one {
		t.Fatalf("replies of instance 3 beside instance 4:\n%q\nalone:\n%q", got, one)
	}
}

// A new instance with the number of a halted one ignores the end of an attempt that the halted instance started.
func TestHaltDiscardsInstance(t *testing.T) {
	in := frame("1", create("3")) +
		frame("2", "DEMAND\twho=3\tid=u-1\tservice=feed\tremaining_s=1\nHALT\twho=3\n"+create("3")) +
		frame("3", "DONE\twho=3\tid=u-1\trc=40\tserver=11\tn=0\tno_more=0\n")
	out, errs, code := adapter(t, in)
	if code != 0 {
		t.Fatalf("exit status %d, standard error %q", code, errs)
	}
	if last := out[strings.Index(out, "NEXT\tn=2\n"):]; strings.Contains(last, "u-1") {
		t.Fatalf("reply names a request of the halted instance: %q", last)
	}
}

func TestInvalidInputEndsWithOneMessage(t *testing.T) {
	for _, in := range []string{
		"HELLO\n", frame("7", "SNARK\twho=3\n"), "FRAME\tt_s=1\tn=7\n",
		frame("7", strings.Replace(create("3"), "cold_share=0.3", "cold_share=3", 1)),
	} {
		t.Run(in, func(t *testing.T) {
			out, errs, code := adapter(t, in)
			if code == 0 || strings.Count(errs, "\n") != 1 || strings.Contains(errs, "goroutine") {
				t.Errorf("exit status %d, standard error %q", code, errs)
			}
			if strings.Contains(out, "NEXT") {
				t.Errorf("replied to an invalid batch: %q", out)
			}
		})
	}
}
