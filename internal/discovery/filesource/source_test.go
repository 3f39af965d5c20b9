package filesource

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"

	"github.com/sirupsen/logrus"
)

// updateRecorder keeps the latest list, and how many came.
type updateRecorder struct {
	mu    sync.Mutex
	names string
	lists int
	alive int
}

func (s *updateRecorder) EndpointsUpdated(r core.EndpointUpdate) {
	var names []string
	for _, in := range r.Endpoints {
		name := in.Name
		if in.State == decide.Draining {
			name += "!"
		}
		names = append(names, name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names, s.lists = strings.Join(names, " "), s.lists+1
}

func (s *updateRecorder) WatchAlive(uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive++
}

func (s *updateRecorder) latest() (string, int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names, s.lists, s.alive
}

func (s *updateRecorder) waitFor(t *testing.T, names string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got, _, _ = s.latest(); got == names {
			return
		}
	}
	t.Fatalf("the list is %q, want %q", got, names)
}

func documentOf(rooms ...string) string {
	var all []string
	for i, name := range rooms {
		all = append(all, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","zone":"a"}`, name, 9000+i))
	}
	return `{"rooms":[` + strings.Join(all, ",") + `]}`
}

func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func startSource(t *testing.T, path string) (*Source, *updateRecorder) {
	t.Helper()
	first, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	got := &updateRecorder{}
	s := New(path, first, got, log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	s.Watch(ctx, 1)
	return s, got
}

// A file that is renamed over the old one, written in place, or reached through a link that is turned, is taken over; one
// that is half-written, empty or gone changes nothing.
func TestFileChangesAreApplied(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "rooms.json")
	replaceFile(t, path, documentOf("a", "b", "c"))
	_, got := startSource(t, path)
	got.waitFor(t, "a b c")
	replaceFile(t, path, documentOf("a", "b", "c", "d"))
	got.waitFor(t, "a b c d")
	whole := documentOf("a", "b", "c", "d", "e")
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.WriteString(whole[:len(whole)/2])
	time.Sleep(3 * settleDelay)
	if names, _, _ := got.latest(); names != "a b c d" {
		t.Errorf("half a file makes %q", names)
	}
	f.WriteString(whole[len(whole)/2:])
	got.waitFor(t, "a b c d e")
	replaceFile(t, path, `{"rooms":[]}`)
	time.Sleep(3 * settleDelay)
	os.Remove(path)
	time.Sleep(3 * settleDelay)
	if names, _, _ := got.latest(); names != "a b c d e" {
		t.Errorf("an empty file, and none, make %q", names)
	}
	replaceFile(t, path, documentOf("a", "b", "c", "d"))
	got.waitFor(t, "a b c d")
}

// A link that leads through a folder which is exchanged as a whole, as configuration is often brought about.
func TestSymlinkSwap(t *testing.T) {
	dir := t.TempDir()
	for name, rooms := range map[string][]string{"one": {"a", "b"}, "two": {"a", "b", "c"}} {
		os.Mkdir(filepath.Join(dir, name), 0o700)
		replaceFile(t, filepath.Join(dir, name, "rooms.json"), documentOf(rooms...))
	}
	swap := func(to string) {
		t.Helper()
		if err := os.Symlink(to, filepath.Join(dir, "data.new")); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(filepath.Join(dir, "data.new"), filepath.Join(dir, "data")); err != nil {
			t.Fatal(err)
		}
	}
	swap("one")
	path := filepath.Join(dir, "rooms.json")
	if err := os.Symlink(filepath.Join("data", "rooms.json"), path); err != nil {
		t.Fatal(err)
	}
	_, got := startSource(t, path)
	got.waitFor(t, "a b")
	swap("two")
	got.waitFor(t, "a b c")
}

// A file that is replaced 100 times a second is looked at now and then, and its last form is in force in the end.
func TestFileReplacedContinuously(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rooms.json")
	replaceFile(t, path, documentOf("a", "b"))
	_, got := startSource(t, path)
	got.waitFor(t, "a b")
	_, before, _ := got.latest()
	begun := time.Now()
	for i := range 200 {
		replaceFile(t, path, documentOf("a", "b", fmt.Sprintf("c-%d", i)))
		time.Sleep(10 * time.Millisecond)
	}
	replaceFile(t, path, documentOf("a", "b", "last"))
	got.waitFor(t, "a b last")
	// By the time it took: a slow disk spreads the files out, and more of them are then left alone for long enough.
	if _, lists, _ := got.latest(); lists-before > 10+int(time.Since(begun)/(4*settleDelay)) {
		t.Errorf("%d lists for 201 files in %v", lists-before, time.Since(begun))
	}
}

// A list that takes over half away waits for the second signal; the core's calls are answered with the one in force meanwhile,
// and its watch hears that the source lives.
func TestConfirmationOfLargeRemoval(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rooms.json")
	replaceFile(t, path, documentOf("a", "b", "c", "d"))
	s, got := startSource(t, path)
	got.waitFor(t, "a b c d")
	replaceFile(t, path, documentOf("a"))
	time.Sleep(pollInterval + 3*settleDelay)
	s.Fetch(t.Context())
	l, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if names, _, alive := got.latest(); names != "a b c d" || alive == 0 {
		t.Errorf("the list is %q, %d signs of life", names, alive)
	}
	s.Propose(t.Context(), l)
	got.waitFor(t, "a")
}

// A long list is taken over, and a file that does not change is read no more once its time tells so.
func TestLongFileIsReadOnce(t *testing.T) {
	var names []string
	for i := range 20_000 {
		names = append(names, fmt.Sprintf("s-%05d", i))
	}
	path := filepath.Join(t.TempDir(), "rooms.json")
	replaceFile(t, path, strings.Replace(documentOf(names...), `"zone":"a"`, `"zone": "a"`, 1))
	s := New(path, endpoint.List{}, &updateRecorder{}, logrus.New())
	s.log.SetOutput(io.Discard)
	if s.poll(); len(s.guard.Current().Entries) != 20_000 || s.read != nil {
		t.Fatalf("%d room servers, and a file that was just written passes for read", len(s.guard.Current().Entries))
	}
	age := func(seconds int) {
		t.Helper()
		at := time.Now().Add(-time.Duration(seconds) * time.Second)
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	age(60)
	s.poll()
	if got := testing.AllocsPerRun(10, s.poll); got > 20 {
		t.Errorf("a look at a file that does not change takes %.0f allocations", got)
	}
	replaceFile(t, path, documentOf(append(names, "s-20000")...))
	age(60) // as old, but another file
	if s.poll(); len(s.guard.Current().Entries) != 20_001 {
		t.Errorf("%d room servers", len(s.guard.Current().Entries))
	}
	replaceFile(t, path, "{")
	age(90)
	if s.poll(); s.read != nil || len(s.guard.Current().Entries) != 20_001 {
		t.Error("a faulty file passes for read")
	}
}
