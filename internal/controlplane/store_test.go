package controlplane

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"

	"cottonplank/internal/controlplane/replica"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

func newTestStore(path, site string) (*Store, *logBuffer) {
	log, output := newTestLogger()
	return NewStore(path, site, log), output
}

// Load returns the state that was saved. Saving an older state does not replace a newer one.
func TestStoreKeepsNewestState(t *testing.T) {
	t.Parallel()
	store, log := newTestStore(filepath.Join(t.TempDir(), "state.db"), "x")
	if got := store.Load(); got.Version != (replica.Version{}) || log.String() != "" {
		t.Errorf("without a file: loaded version %v, log %s", got.Version, log)
	}
	state := replica.State{Version: version(7), Document: documentOf(3000, 1)}
	older := replica.State{Version: version(6), Document: documentOf(1, 1)}
	for _, save := range []replica.State{older, state, older} {
		if err := store.Save(save); err != nil {
			t.Fatal(err)
		}
	}
	if got := store.Load(); !reflect.DeepEqual(got, state) {
		t.Fatalf("saved version %s, loaded version %s, log %s", state.Version, got.Version, log)
	}
}

// unusableFile is a way in which a state file can be unusable. Such a file must not be loaded.
type unusableFile struct {
	name  string
	write func(t *testing.T, path string)
}

// writeSavedState returns a function that writes an undamaged state file with the given content.
func writeSavedState(saved savedState) func(*testing.T, string) {
	return func(t *testing.T, path string) {
		body, err := cbor.Marshal(saved)
		if err != nil {
			t.Fatal(err)
		}
		db, err := bbolt.Open(path, stateFileMode, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer db.Close()
		if err := db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists(bucketName)
			if err != nil {
				return err
			}
			return bucket.Put(stateKey, append(checksum(body), body...))
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// writeDamaged returns a function that writes a damaged copy of an intact file's content.
func writeDamaged(intact []byte, damage func([]byte) []byte) func(*testing.T, string) {
	return func(t *testing.T, path string) {
		if err := os.WriteFile(path, damage(bytes.Clone(intact)), stateFileMode); err != nil {
			t.Fatal(err)
		}
	}
}

// unusableFiles returns ways in which a file with the given state can be unusable.
func unusableFiles(t *testing.T, state replica.State) []unusableFile {
	t.Helper()
	path := filepath.Join(t.TempDir(), "state.db")
	store, _ := newTestStore(path, "x")
	if err := store.Save(state); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	noVersion := replica.State{Document: state.Document}
	noDocument := replica.State{Version: version(9)}
	files := []unusableFile{
		{"empty site", writeSavedState(savedState{stateFileVersion, "", state})},
		{"other site", writeSavedState(savedState{stateFileVersion, "y", state})},
		{"newer file version", writeSavedState(savedState{stateFileVersion + 1, "x", state})},
		{"no version", writeSavedState(savedState{stateFileVersion, "x", noVersion})},
		{"no document", writeSavedState(savedState{stateFileVersion, "x", noDocument})},
		{"not a database", writeDamaged(intact, func([]byte) []byte { return []byte("{}") })},
		{"zeroes", writeDamaged(intact, func(b []byte) []byte { return make([]byte, len(b)) })},
		{"modified name", writeDamaged(intact, func(b []byte) []byte {
			b[strings.LastIndex(string(b), "s-01234")] ^= 1 // the new name is valid: only the checksum shows the damage
			return b
		})},
	}
	for _, divisor := range []int{16, 8, 4, 2} {
		truncate := func(b []byte) []byte { return b[:len(b)/divisor] }
		zero := func(b []byte) []byte {
			clear(b[len(b)/divisor:])
			return b
		}
		files = append(files,
			unusableFile{fmt.Sprintf("truncated to 1/%d", divisor), writeDamaged(intact, truncate)},
			unusableFile{fmt.Sprintf("zeroes from 1/%d on", divisor), writeDamaged(intact, zero)})
	}
	return files
}

// A file that is corrupt, of another site or of a newer file version is renamed, and the next save creates a new
// file. A save also succeeds if the file becomes unusable while the store is in use. A damaged file could otherwise
// crash the process at each start, since bbolt does not check all offsets in the file.
func TestUnusableFileIsMovedAside(t *testing.T) {
	t.Parallel()
	state := replica.State{Version: version(7), Document: documentOf(3000, 1)}
	for _, file := range unusableFiles(t, state) {
		t.Run(file.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "state.db")
			store, log := newTestStore(path, "x")
			file.write(t, path)
			if got := store.Load(); got.Version != (replica.Version{}) {
				t.Errorf("version %s is loaded from an unusable file", got.Version)
			}
			if _, err := os.Stat(path + ".aside"); err != nil || !strings.Contains(log.String(), "was moved aside") {
				t.Errorf("the file was not moved aside: %v, log %q", err, log)
			}
			if err := store.Save(state); err != nil {
				t.Error(err)
			}
			if got := store.Load(); !reflect.DeepEqual(got, state) {
				t.Errorf("after a new save: loaded version %s", got.Version)
			}
			file.write(t, path)
			if err := store.Save(replica.State{Version: version(8), Document: documentOf(2, 1)}); err != nil {
				t.Error(err)
			}
			if got := store.Load(); got.Version != version(8) {
				t.Errorf("after a save over an unusable file: loaded version %s, log %s", got.Version, log)
			}
		})
	}
}

// Two processes share the file during a hot restart. The file keeps the newest state, whichever process saves last.
func TestStoreSharedByTwoProcesses(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "state.db")
	var saving sync.WaitGroup
	for process := range uint64(2) {
		store, log := newTestStore(path, "x")
		saving.Go(func() {
			for _, number := range []uint64{5 + process, 3, 1 + process} {
				state := replica.State{Version: version(number), Document: documentOf(int(number), 1)}
				if err := store.Save(state); err != nil {
					t.Error(err, log)
				}
			}
		})
	}
	saving.Wait()
	store, log := newTestStore(path, "x")
	if got := store.Load(); got.Version != version(6) || log.String() != "" {
		t.Errorf("version %s is saved, log %s", got.Version, log)
	}
}
