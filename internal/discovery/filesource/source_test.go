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

// waitTimeout limits how long a test waits for a list.
const waitTimeout = 20 * time.Second

// updateRecorder records the latest list and counts the updates.
type updateRecorder struct {
	mu         sync.Mutex
	names      string // separated by spaces; a draining endpoint's ends in "!"
	lists      int
	heartbeats int
}

func (r *updateRecorder) EndpointsUpdated(update core.EndpointUpdate) {
	var names []string
	for _, updated := range update.Endpoints {
		name := updated.Name
		if updated.State == decide.Draining {
			name += "!"
		}
		names = append(names, name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = strings.Join(names, " ")
	r.lists++
}

func (r *updateRecorder) WatchAlive(uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats++
}

func (r *updateRecorder) latest() (names string, lists, heartbeats int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names, r.lists, r.heartbeats
}

func (r *updateRecorder) waitFor(t *testing.T, want string) {
	t.Helper()
	names := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if names, _, _ = r.latest(); names == want {
			return
		}
	}
	t.Fatalf("the list is %q, want %q", names, want)
}

// listFile returns a file with endpoints of the given names.
func listFile(names ...string) string {
	var entries []string
	for i, name := range names {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","zone":"a"}`, name, 9000+i))
	}
	return `{"rooms":[` + strings.Join(entries, ",") + `]}`
}

// replaceFile replaces a file in one step.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// startSource runs a source of a file until the test ends, with a watch.
func startSource(t *testing.T, path string) (*Source, *updateRecorder) {
	t.Helper()
	first, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	recorder := &updateRecorder{}
	source := New(path, first, recorder, log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { source.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	source.Watch(ctx, 1)
	return source, recorder
}

// A file that is replaced, or written in place, is applied. One that is half written, empty or missing
// changes nothing.
func TestFileChangesAreApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rooms.json")
	replaceFile(t, path, listFile("a", "b", "c"))
	_, recorder := startSource(t, path)
	recorder.waitFor(t, "a b c")
	replaceFile(t, path, listFile("a", "b", "c", "d"))
	recorder.waitFor(t, "a b c d")
	content := listFile("a", "b", "c", "d", "e")
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	file.WriteString(content[:len(content)/2])
	time.Sleep(3 * settleDelay)
	if names, _, _ := recorder.latest(); names != "a b c d" {
		t.Errorf("half a file leads to %q", names)
	}
	file.WriteString(content[len(content)/2:])
	recorder.waitFor(t, "a b c d e")
	replaceFile(t, path, `{"rooms":[]}`)
	time.Sleep(3 * settleDelay)
	os.Remove(path)
	time.Sleep(3 * settleDelay)
	if names, _, _ := recorder.latest(); names != "a b c d e" {
		t.Errorf("an empty file, and then none, lead to %q", names)
	}
	replaceFile(t, path, listFile("a", "b", "c", "d"))
	recorder.waitFor(t, "a b c d")
}

// A symbolic link to a directory that is swapped as a whole, as configuration management does it, is followed.
func TestSymlinkSwap(t *testing.T) {
	dir := t.TempDir()
	for name, endpoints := range map[string][]string{"one": {"a", "b"}, "two": {"a", "b", "c"}} {
		os.Mkdir(filepath.Join(dir, name), 0o700)
		replaceFile(t, filepath.Join(dir, name, "rooms.json"), listFile(endpoints...))
	}
	swap := func(target string) {
		t.Helper()
		if err := os.Symlink(target, filepath.Join(dir, "data.new")); err != nil {
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
	_, recorder := startSource(t, path)
	recorder.waitFor(t, "a b")
	swap("two")
	recorder.waitFor(t, "a b c")
}

// A file that is replaced 100 times a second is read now and then, and its last content is applied in the end.
func TestFileReplacedContinuously(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rooms.json")
	replaceFile(t, path, listFile("a", "b"))
	_, recorder := startSource(t, path)
	recorder.waitFor(t, "a b")
	_, before, _ := recorder.latest()
	start := time.Now()
	for i := range 200 {
		replaceFile(t, path, listFile("a", "b", fmt.Sprintf("c-%d", i)))
		time.Sleep(10 * time.Millisecond)
	}
	replaceFile(t, path, listFile("a", "b", "last"))
	recorder.waitFor(t, "a b last")
	// The limit grows with the time taken: with a slow disk, more of the files settle before the next one.
	if _, lists, _ := recorder.latest(); lists-before > 10+int(time.Since(start)/(4*settleDelay)) {
		t.Errorf("%d lists for 201 files in %v", lists-before, time.Since(start))
	}
}

// A list that removes over half of the endpoints is pending until the operator requests it. Meanwhile
// requests are answered with the current list, and the watch stays alive.
func TestConfirmationOfLargeRemoval(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rooms.json")
	replaceFile(t, path, listFile("a", "b", "c", "d"))
	source, recorder := startSource(t, path)
	recorder.waitFor(t, "a b c d")
	replaceFile(t, path, listFile("a"))
	time.Sleep(pollInterval + 3*settleDelay)
	source.Fetch(t.Context())
	list, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if names, _, heartbeats := recorder.latest(); names != "a b c d" || heartbeats == 0 {
		t.Errorf("the list is %q, %d heartbeats", names, heartbeats)
	}
	source.Propose(t.Context(), list)
	recorder.waitFor(t, "a")
}

// A long list is applied, and the file is not read again until it changes, once its modification time is old
// enough to tell.
func TestLongFileIsReadOnce(t *testing.T) {
	var names []string
	for i := range 20_000 {
		names = append(names, fmt.Sprintf("s-%05d", i))
	}
	path := filepath.Join(t.TempDir(), "rooms.json")
	replaceFile(t, path, strings.Replace(listFile(names...), `"zone":"a"`, `"zone": "a"`, 1))
	source := New(path, endpoint.List{}, &updateRecorder{}, logrus.New())
	source.log.SetOutput(io.Discard)
	length := func() int { return len(source.guard.Current().Entries) }
	setAge := func(seconds int) {
		t.Helper()
		modified := time.Now().Add(-time.Duration(seconds) * time.Second)
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	if source.reloadIfChanged(); length() != 20_000 || source.file.lastRead != nil {
		t.Fatalf("%d endpoints, and a file that was just written counts as unchanged", length())
	}
	setAge(60)
	source.reloadIfChanged()
	if got := testing.AllocsPerRun(10, source.reloadIfChanged); got > 20 {
		t.Errorf("the check of an unchanged file takes %.0f allocations", got)
	}
	replaceFile(t, path, listFile(append(names, "s-20000")...))
	setAge(60) // the same age, but another file
	if source.reloadIfChanged(); length() != 20_001 {
		t.Errorf("%d endpoints", length())
	}
	replaceFile(t, path, "{")
	setAge(90)
	if source.reloadIfChanged(); source.file.lastRead != nil || length() != 20_001 {
		t.Error("an invalid file counts as unchanged")
	}
}
