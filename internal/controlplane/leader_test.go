package controlplane

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// replaceFile replaces a file atomically, so that a reader never sees a part of the content.
func replaceFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// documentFile returns the content of a document's file that lists endpoints with the given names.
func documentFile(names ...string) string {
	var entries []string
	for i, name := range names {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","zone":"a"}`, name, 9000+i))
	}
	return `{"rooms":[` + strings.Join(entries, ",") + `]}`
}

// The leader saves and publishes the document of a changed file. It rejects a file that is invalid or too long, and a
// file that removes all or most endpoints. It logs each rejection once.
func TestLeaderPublishesValidChanges(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := filepath.Join(dir, "document.json")
	replaceFile(t, path, documentFile("a", "b", "c"))
	log, output := newTestLogger()
	store := NewStore(filepath.Join(dir, "state.db"), "x", log)
	broadcaster, reloads := NewBroadcaster(store.Load(), true), make(chan os.Signal)
	leader := NewLeader(path, 1, broadcaster, store, log)
	stop := startUntilCleanup(t, func(ctx context.Context) { leader.Run(ctx, reloads) })
	waitUntil(t, "the first version", atVersion(broadcaster, version(1)))
	for _, rejected := range []struct{ file, want string }{
		{`{"rooms":[]}`, "rooms: the list is empty"},
		{`{"discovery":"127.0.0.1:1"}`, "rooms: a published list cannot be withdrawn"},
		{`{"rooms`, "EOF"},
		{documentFile("a", "b") + strings.Repeat(" ", 10<<20), "longer than"},
		{documentFile("a"), "pending: removes or drains over half"},
	} {
		replaceFile(t, path, rejected.file)
		waitUntil(t, rejected.want, output.contains(rejected.want))
	}
	time.Sleep(2 * filePollInterval)
	if n := strings.Count(output.String(), "document rejected"); n != 5 || broadcaster.State().Version != version(1) {
		t.Errorf("%d rejections logged, want 5; at version %s, log:\n%s", n, broadcaster.State().Version, output)
	}
	reloads <- nil // as SIGHUP does
	waitUntil(t, "the pending list after its confirmation", atVersion(broadcaster, version(2)))
	if got := store.Load(); !reflect.DeepEqual(got, broadcaster.State()) {
		t.Errorf("the saved state, of version %s, is not the published one", got.Version)
	}
	replaceFile(t, path, documentFile("a", "b"))
	waitUntil(t, "a change", atVersion(broadcaster, version(3)))
	stop()
	// After a restart, the leader continues with the number after the saved version.
	replaceFile(t, path, documentFile("a", "b", "c"))
	broadcaster = NewBroadcaster(store.Load(), true)
	leader = NewLeader(path, 1, broadcaster, store, log)
	startUntilCleanup(t, func(ctx context.Context) { leader.Run(ctx, reloads) })
	waitUntil(t, "the version after the restart", atVersion(broadcaster, version(4)))
}

// A leader must not publish a state that it cannot save. After a restart it would not know the version, and would
// publish another document under the same one.
func TestLeaderSavesBeforePublishing(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "document.json")
	if err := os.WriteFile(path, []byte(`{"discovery":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	log, output := newTestLogger()
	broadcaster := NewBroadcaster(replica.State{}, true)
	store := NewStore(filepath.Join(dir, "nowhere", "state.db"), "x", log)
	startUntilCleanup(t, func(ctx context.Context) { NewLeader(path, 1, broadcaster, store, log).Run(ctx, nil) })
	waitUntil(t, "the log of the failure", output.contains("document rejected"))
	if got := broadcaster.State().Version; got != (replica.Version{}) {
		t.Errorf("the unsaved document is published as version %s", got)
	}
}
