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

// sink keeps the latest list, and how many came.
type sink struct {
	mu    sync.Mutex
	names string
	lists int
	alive int
}

func (s *sink) EndpointsUpdated(r core.EndpointUpdate) {
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

func (s *sink) WatchAlive(uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive++
}

func (s *sink) get() (string, int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names, s.lists, s.alive
}

func (s *sink) want(t *testing.T, names string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got, _, _ = s.get(); got == names {
			return
		}
	}
	t.Fatalf("the list is %q, want %q", got, names)
}

func text(rooms ...string) string {
	var all []string
	for i, name := range rooms {
		all = append(all, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","zone":"a"}`, name, 9000+i))
	}
	return `{"rooms":[` + strings.Join(all, ",") + `]}`
}

func put(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func start(t *testing.T, path string) (*Source, *sink) {
	t.Helper()
	first, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	got := &sink{}
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
func TestReplaced(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "rooms.json")
	put(t, path, text("a", "b", "c"))
	_, got := start(t, path)
	got.want(t, "a b c")
	put(t, path, text("a", "b", "c", "d"))
	got.want(t, "a b c d")
	whole := text("a", "b", "c", "d", "e")
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.WriteString(whole[:len(whole)/2])
	time.Sleep(3 * settle)
	if names, _, _ := got.get(); names != "a b c d" {
		t.Errorf("half a file makes %q", names)
	}
	f.WriteString(whole[len(whole)/2:])
	got.want(t, "a b c d e")
	put(t, path, `{"rooms":[]}`)
	time.Sleep(3 * settle)
	os.Remove(path)
	time.Sleep(3 * settle)
	if names, _, _ := got.get(); names != "a b c d e" {
		t.Errorf("an empty file, and none, make %q", names)
	}
	put(t, path, text("a", "b", "c", "d"))
	got.want(t, "a b c d")
}

// A link that leads through a folder which is exchanged as a whole, as configuration is often brought about.
func TestSymlinkSwap(t *testing.T) {
	dir := t.TempDir()
	for name, rooms := range map[string][]string{"one": {"a", "b"}, "two": {"a", "b", "c"}} {
		os.Mkdir(filepath.Join(dir, name), 0o700)
		put(t, filepath.Join(dir, name, "rooms.json"), text(rooms...))
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
	_, got := start(t, path)
	got.want(t, "a b")
	swap("two")
	got.want(t, "a b c")
}

// A file that is replaced 100 times a second is looked at now and then, and its last form is in force in the end.
func TestReplacedAllTheTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rooms.json")
	put(t, path, text("a", "b"))
	_, got := start(t, path)
	got.want(t, "a b")
	_, before, _ := got.get()
	begun := time.Now()
	for i := range 200 {
		put(t, path, text("a", "b", fmt.Sprintf("c-%d", i)))
		time.Sleep(10 * time.Millisecond)
	}
	put(t, path, text("a", "b", "last"))
	got.want(t, "a b last")
	// By the time it took: a slow disk spreads the files out, and more of them are then left alone for long enough.
	if _, lists, _ := got.get(); lists-before > 10+int(time.Since(begun)/(4*settle)) {
		t.Errorf("%d lists for 201 files in %v", lists-before, time.Since(begun))
	}
}

// A list that takes over half away waits for the second signal; the core's calls are answered with the one in force meanwhile,
// and its watch hears that the source lives.
func TestHeld(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rooms.json")
	put(t, path, text("a", "b", "c", "d"))
	s, got := start(t, path)
	got.want(t, "a b c d")
	put(t, path, text("a"))
	time.Sleep(lookEvery + 3*settle)
	s.Fetch(t.Context())
	l, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if names, _, alive := got.get(); names != "a b c d" || alive == 0 {
		t.Errorf("the list is %q, %d signs of life", names, alive)
	}
	s.Propose(t.Context(), l)
	got.want(t, "a")
}

// A long list is taken over, and a file that does not change is read no more once its time tells so.
func TestLongFile(t *testing.T) {
	var names []string
	for i := range 20_000 {
		names = append(names, fmt.Sprintf("s-%05d", i))
	}
	path := filepath.Join(t.TempDir(), "rooms.json")
	put(t, path, strings.Replace(text(names...), `"zone":"a"`, `"zone": "a"`, 1))
	s := New(path, endpoint.List{}, &sink{}, logrus.New())
	s.log.SetOutput(io.Discard)
	if s.look(); len(s.keeper.Current().Entries) != 20_000 || s.read != nil {
		t.Fatalf("%d room servers, and a file that was just written passes for read", len(s.keeper.Current().Entries))
	}
	age := func(seconds int) {
		t.Helper()
		at := time.Now().Add(-time.Duration(seconds) * time.Second)
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	age(60)
	s.look()
	if got := testing.AllocsPerRun(10, s.look); got > 20 {
		t.Errorf("a look at a file that does not change takes %.0f allocations", got)
	}
	put(t, path, text(append(names, "s-20000")...))
	age(60) // as old, but another file
	if s.look(); len(s.keeper.Current().Entries) != 20_001 {
		t.Errorf("%d room servers", len(s.keeper.Current().Entries))
	}
	put(t, path, "{")
	age(90)
	if s.look(); s.read != nil || len(s.keeper.Current().Entries) != 20_001 {
		t.Error("a faulty file passes for read")
	}
}
