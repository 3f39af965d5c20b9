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

// updateRecorder records the latest list and counts the lists and heartbeats that it receives.
type updateRecorder struct {
	mu         sync.Mutex
	names      string // of the latest list's endpoints, separated by spaces; "!" is appended for a draining endpoint
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

// listFile returns the content of a list file with endpoints of the given names.
func listFile(names ...string) string {
	var entries []string
	for i, name := range names {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","zone":"a"}`, name, 9000+i))
	}
	return `{"rooms":[` + strings.Join(entries, ",") + `]}`
}

// replaceFile replaces a file atomically.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// startSource runs a source of a file until the test ends, and opens a watch.
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

// A list is applied when its file is replaced or written in place. A file that is half written, contains no endpoints
// or is missing does not change the list.
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
		t.Errorf("after half of the file was written, the list is %q, want it unchanged", names)
	}
	file.WriteString(content[len(content)/2:])
	recorder.waitFor(t, "a b c d e")
	replaceFile(t, path, `{"rooms":[]}`)
	time.Sleep(3 * settleDelay)
	os.Remove(path)
	time.Sleep(3 * settleDelay)
	if names, _, _ := recorder.latest(); names != "a b c d e" {
		t.Errorf("after a file without endpoints and then a missing file, the list is %q, want it unchanged", names)
	}
	replaceFile(t, path, listFile("a", "b", "c", "d"))
	recorder.waitFor(t, "a b c d")
}

// Configuration management replaces a directory by pointing a symbolic link at a new one. The file's own directory
// gets no event then, and the new content must still be applied.
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

// A file that is replaced 100 times a second is read much less often, and its last content is applied in the end.
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
	// The limit grows with the time taken: on a slow disk, settleDelay passes more often before the next replacement.
	if _, lists, _ := recorder.latest(); lists-before > 10+int(time.Since(start)/(4*settleDelay)) {
		t.Errorf("%d lists were applied for 201 replacements of the file in %v", lists-before, time.Since(start))
	}
}

// A list that removes over half of the endpoints is pending until the operator requests a reload. Until then,
// requests are answered with the current list, and the watch sends heartbeats.
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
		t.Errorf("the list is %q after %d heartbeats, want the list unchanged and at least one heartbeat", names, heartbeats)
	}
	source.Propose(t.Context(), list)
	recorder.waitFor(t, "a")
}

// A long list is applied, and its file is not read again until it changes. A file counts as unchanged only once its
// modification time is old enough: two writes in quick succession may leave the same modification time.
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
		t.Fatalf("%d endpoints, want 20000; or a file that was just written counts as unchanged", length())
	}
	setAge(60)
	source.reloadIfChanged()
	if got := testing.AllocsPerRun(10, source.reloadIfChanged); got > 20 {
		t.Errorf("checking an unchanged file takes %.0f allocations, want at most 20", got)
	}
	replaceFile(t, path, listFile(append(names, "s-20000")...))
	setAge(60) // another file with the same age must be detected by its identity or size
	if source.reloadIfChanged(); length() != 20_001 {
		t.Errorf("after the file was replaced: %d endpoints, want 20001", length())
	}
	replaceFile(t, path, "{")
	setAge(90)
	if source.reloadIfChanged(); source.file.lastRead != nil || length() != 20_001 {
		t.Error("an invalid file counts as unchanged, or has changed the list")
	}
}
