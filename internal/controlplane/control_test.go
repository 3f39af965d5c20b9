package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/session/token"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"
)

const testTimeout = 20 * time.Second

// logBuffer is a log that can be looked at while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newTestLogger() (*logrus.Logger, *logBuffer) {
	log, text := logrus.New(), &logBuffer{}
	log.SetOutput(text)
	return log, text
}

func newTestKeyring(t *testing.T) *Keyring {
	t.Helper()
	key, err := token.NewKey(time.Now().Add(-time.Minute), time.Now().Add(time.Hour), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	k, err := NewKeyring(func() (*token.Ring, error) { return token.NewRing([]token.Key{key}, time.Minute) })
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func documentOf(n, weight int) (d replica.Document) {
	for i := range n {
		d.Rooms = append(d.Rooms, endpoint.Entry{Name: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("127.1.%d.%d:9000", i>>8, i&255), Zone: "a",
			Weight: float64(weight)})
	}
	return d
}

// publishDocument writes a document into a hub.
func publishDocument(t *testing.T, h *Broadcaster, d replica.Document) replica.State {
	t.Helper()
	state, _, err := h.update(func(r *replica.Replica) (bool, error) {
		c, _, err := r.Propose(d, 1)
		if err != nil {
			return false, err
		}
		return r.ApplyChanges([]replica.Change{*c})
	})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// startUntilCleanup has an actor run until the test ends, or is stopped.
func startUntilCleanup(t *testing.T, do func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { do(ctx) })
	stop = func() { cancel(); running.Wait() }
	t.Cleanup(stop)
	return stop
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// startServer serves a hub.
func startServer(t *testing.T, h *Broadcaster, keys *Keyring, site string) (replica.Server, func()) {
	t.Helper()
	l := listen(t)
	log, _ := newTestLogger()
	stop := startUntilCleanup(t, func(ctx context.Context) { NewServer(h, keys, site, log).Serve(ctx, l) })
	return replica.Server{Address: l.Addr().String(), Region: "a"}, stop
}

// startFollower follows machines; states are those that it was told of.
func startFollower(t *testing.T, saved replica.State, keys *Keyring, site string, machines ...replica.Server) (h *Broadcaster, states chan replica.State, text *logBuffer) {
	t.Helper()
	log, text := newTestLogger()
	h, states = NewBroadcaster(saved, false), make(chan replica.State, 10000)
	f := NewFollower(h, machines, "a", 1, keys, site, func(s replica.State) { states <- s }, log)
	startUntilCleanup(t, f.Run)
	return h, states, text
}

func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func atVersion(h *Broadcaster, v replica.Version) func() bool {
	return func() bool { return h.State().Version == v }
}

func version(n uint64) replica.Version { return replica.Version{Term: 1, Number: n} }

// A whole state of many pieces, then changes, through a machine that follows the one that writes. When the machine is gone the
// follower goes on at the other, with changes alone.
func TestReplicateThroughFollower(t *testing.T) {
	t.Parallel()
	keys := newTestKeyring(t)
	writer := NewBroadcaster(replica.State{}, true)
	publishDocument(t, writer, documentOf(20000, 1))
	first, stopFirst := startServer(t, writer, keys, "x")
	middle := NewBroadcaster(replica.State{}, true)
	log, _ := newTestLogger()
	startUntilCleanup(t, NewFollower(middle, []replica.Server{first}, "a", 2, keys, "x", func(replica.State) {}, log).Run)
	second, stopSecond := startServer(t, middle, keys, "x")
	other := replica.Server{Address: first.Address, Region: "b"}
	h, states, text := startFollower(t, replica.State{}, keys, "x", second, other)
	waitUntil(t, "the whole state", atVersion(h, version(1)))
	publishDocument(t, writer, documentOf(20001, 1))
	waitUntil(t, "a change", atVersion(h, version(2)))
	start := time.Now()
	stopSecond()
	publishDocument(t, writer, documentOf(20002, 1))
	waitUntil(t, "a change at the other machine", atVersion(h, version(3)))
	if took := time.Since(start); took > replica.LeaderTimeout {
		t.Errorf("the change after the machine's end took %v", took)
	}
	if !reflect.DeepEqual(h.State(), writer.State()) || len(states) != 3 || !strings.Contains(text.String(), other.Address) {
		t.Errorf("at %s after %d states, log:\n%s", h.State().Version, len(states), text)
	}
	stopFirst()
	waitUntil(t, "silence", func() bool { return strings.Contains(text.String(), "nothing heard of the writer for 6s") })
	time.Sleep(500 * time.Millisecond)
	if n := strings.Count(text.String(), "nothing heard"); n != 1 {
		t.Errorf("silence is told %d times", n)
	}
}

// Three of six machines are gone, one of them hanging, while a balancer starts with 100 versions to go; the machines are of
// different ages.
func TestServersWithDifferentVersions(t *testing.T) {
	t.Parallel()
	keys := newTestKeyring(t)
	newer, older := NewBroadcaster(replica.State{}, true), NewBroadcaster(replica.State{}, true)
	old := publishDocument(t, older, documentOf(10, 1))
	publishDocument(t, newer, documentOf(10, 1))
	for i := range 100 {
		publishDocument(t, newer, documentOf(10, i+2))
	}
	m1, stop := startServer(t, newer, keys, "x")
	m2, _ := startServer(t, older, keys, "x")
	hangs, closed, also := listen(t), listen(t), listen(t)
	closed.Close()
	also.Close()
	var all []replica.Server
	for _, l := range []net.Listener{hangs, closed, also} {
		all = append(all, replica.Server{Address: l.Addr().String(), Region: "a"})
	}
	m1.Region, m2.Region = "b", "c"
	h, states, _ := startFollower(t, old, keys, "x", append(all, m1, m2)...)
	start := time.Now()
	waitUntil(t, "the newer state", atVersion(h, version(101)))
	if took := time.Since(start); took > replica.LeaderTimeout {
		t.Errorf("it took %v", took)
	}
	stop() // the older one is all that is left
	time.Sleep(3 * time.Second)
	for len(states) > 0 {
		if s := <-states; s.Version.Compare(old.Version) <= 0 {
			t.Errorf("went back to %s", s.Version)
		}
	}
	if v := h.State().Version; v != version(101) {
		t.Errorf("at %s", v)
	}
}

// false machines: each answers with something that must not be taken; the sound one after them is found.
func TestInvalidFramesAreRejected(t *testing.T) {
	t.Parallel()
	keys, sound := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	want := publishDocument(t, sound, documentOf(3, 1))
	bad := publishDocument(t, NewBroadcaster(replica.State{}, true), documentOf(5, 1))
	frame := func(t *testing.T, l *secureConn) []byte { // of a state that is newer than the sound one
		bad.Version.Term = 9
		p := bad.Chunks()[0]
		body, err := cbor.Marshal(message{Chunk: &p})
		if err != nil {
			t.Fatal(err)
		}
		return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...), frameTag(l.sendMAC, l.sendSequence, body)...)
	}
	for name, play := range map[string]func(t *testing.T, conn net.Conn, l *secureConn) error{
		"cut": func(t *testing.T, conn net.Conn, l *secureConn) error {
			raw := frame(t, l)
			_, err := conn.Write(raw[:len(raw)-1])
			return err
		},
		"changed": func(t *testing.T, conn net.Conn, l *secureConn) error {
			raw := frame(t, l)
			raw[len(raw)/2] ^= 1
			_, err := conn.Write(raw)
			return err
		},
		"out of its order": func(t *testing.T, conn net.Conn, l *secureConn) error {
			l.sendSequence += 3
			_, err := conn.Write(frame(t, l))
			return err
		},
		"too long": func(t *testing.T, conn net.Conn, l *secureConn) error {
			_, err := conn.Write(binary.BigEndian.AppendUint32(nil, replica.MaxMessageBytes+1))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, played := listen(t), make(chan error, 100)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					peer := newSecureConn(conn)
					var m message
					if err = peer.serverHandshake(keys, "x"); err == nil {
						if err = peer.receive(&m, time.Second); err == nil {
							err = play(t, conn, peer)
						}
					}
					select {
					case played <- err:
					default:
					}
					time.Sleep(50 * time.Millisecond)
					conn.Close()
				}
			}()
			m, _ := startServer(t, sound, keys, "x")
			m.Region = "b"
			h, states, _ := startFollower(t, replica.State{}, keys, "x", replica.Server{Address: l.Addr().String(), Region: "a"}, m)
			waitUntil(t, "the sound state", atVersion(h, want.Version))
			if err := <-played; err != nil {
				t.Error(err)
			}
			// The hub has a version a moment before the follower hands it on.
			select {
			case taken := <-states:
				if taken.Version != want.Version {
					t.Errorf("version %s was taken, want %s", taken.Version, want.Version)
				}
			case <-time.After(testTimeout):
				t.Error("no state was taken")
			}
			if len(states) > 0 {
				t.Errorf("%d more states were taken", len(states))
			}
		})
	}
}

// A machine that was good falls silent with its connection open, and takes new ones that it does not answer: the silence ends at
// another one within its time.
func TestUnresponsiveServerIsLeft(t *testing.T) {
	t.Parallel()
	keys, hub := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	want := publishDocument(t, hub, documentOf(3, 1))
	l, beaten := listen(t), make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		peer := newSecureConn(conn)
		var m message
		beaten <- errors.Join(peer.serverHandshake(keys, "x"), peer.receive(&m, time.Second), peer.send(message{Heartbeat: &heartbeat{}}))
		time.Sleep(testTimeout)
	}()
	m, _ := startServer(t, hub, keys, "x")
	m.Region = "b"
	h, _, text := startFollower(t, replica.State{}, keys, "x", replica.Server{Address: l.Addr().String(), Region: "a"}, m)
	if err := <-beaten; err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	waitUntil(t, "the other machine's state", atVersion(h, want.Version))
	if took := time.Since(start); took > replica.LeaderTimeout || strings.Contains(text.String(), "nothing heard") {
		t.Errorf("it took %v, log:\n%s", took, text)
	}
}

// A length that is over the bound ends the connection before anything is read for it.
func TestFrameLength(t *testing.T) {
	t.Parallel()
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	go theirs.Write(binary.BigEndian.AppendUint32(nil, replica.MaxMessageBytes+1))
	ours.SetReadDeadline(time.Now().Add(testTimeout))
	if _, _, err := newSecureConn(ours).readFrame(); !errors.Is(err, errFrameTooLong) {
		t.Error(err)
	}
	if err := newSecureConn(ours).send(make([]byte, replica.MaxMessageBytes+1)); !errors.Is(err, errFrameTooLong) {
		t.Error(err)
	}
}

// A machine or a follower under another key, or of another site, gets nothing and gives nothing; a key that is added later is
// good without a signal.
func TestForeignKeysAndSitesAreRejected(t *testing.T) {
	t.Parallel()
	mine, others := newTestKeyring(t), newTestKeyring(t)
	hub := NewBroadcaster(replica.State{}, true)
	publishDocument(t, hub, documentOf(3, 1))
	log, text := newTestLogger()
	l := listen(t)
	startUntilCleanup(t, func(ctx context.Context) { NewServer(hub, mine, "x", log).Serve(ctx, l) })
	m := replica.Server{Address: l.Addr().String(), Region: "a"}
	foreign, _, _ := startFollower(t, replica.State{}, others, "x", m)
	elsewhere, _, _ := startFollower(t, replica.State{}, mine, "y", m)
	good, _, _ := startFollower(t, replica.State{}, mine, "x", m)
	waitUntil(t, "the sound follower's state", atVersion(good, version(1)))
	waitUntil(t, "a word of the refusal", func() bool { return strings.Contains(text.String(), "a follower was refused") })
	time.Sleep(300 * time.Millisecond)
	if v := foreign.State().Version; v != (replica.Version{}) {
		t.Errorf("another key brings %s", v)
	}
	if v := elsewhere.State().Version; v != (replica.Version{}) {
		t.Errorf("another site brings %s", v)
	}
	// A machine that does not have the key cannot answer a follower that does.
	fake, _ := startServer(t, hub, others, "x")
	conn, err := net.Dial("tcp", fake.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := newSecureConn(conn).clientHandshake(mine, "x"); err == nil {
		t.Error("a machine without the key is taken for one")
	}
	others.mu.Lock()
	others.read = mine.read
	others.mu.Unlock()
	waitUntil(t, "the state under the new key", atVersion(foreign, version(1)))
}

func newTestStore(t *testing.T, path, site string) (*Store, *logBuffer) {
	log, text := newTestLogger()
	return NewStore(path, site, log), text
}

// What was saved comes back, and an older state does not take the place of a newer one. A file that is torn, of another site or of
// a newer form is set aside, and a save makes a new one.
func TestStore(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "state.db")
	s, text := newTestStore(t, path, "x")
	if got := s.Load(); got.Version != (replica.Version{}) || text.String() != "" {
		t.Errorf("no file: %v, log %s", got.Version, text)
	}
	state := replica.State{Version: version(7), Document: documentOf(3000, 1)}
	older := replica.State{Version: version(6), Document: documentOf(1, 1)}
	for _, save := range []replica.State{older, state, older} {
		if err := s.Save(save); err != nil {
			t.Fatal(err)
		}
	}
	if got := s.Load(); !reflect.DeepEqual(got, state) {
		t.Fatalf("saved %s, found %s, log %s", state.Version, got.Version, text)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	form := func(v savedState) func(*testing.T, string) {
		return func(t *testing.T, path string) {
			body, err := cbor.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer db.Close()
			sum := checksum(body)
			if err := db.Update(func(tx *bbolt.Tx) error {
				b, err := tx.CreateBucketIfNotExists(bucketName)
				if err != nil {
					return err
				}
				return b.Put(stateKey, append(sum, body...))
			}); err != nil {
				t.Fatal(err)
			}
		}
	}
	bytes := func(change func([]byte) []byte) func(*testing.T, string) {
		return func(t *testing.T, path string) {
			if err := os.WriteFile(path, change(append([]byte{}, raw...)), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	torn := map[string]func(*testing.T, string){
		"empty site":  form(savedState{stateFileVersion, "", state}),
		"other site":  form(savedState{stateFileVersion, "y", state}),
		"newer form":  form(savedState{stateFileVersion + 1, "x", state}),
		"no version":  form(savedState{stateFileVersion, "x", replica.State{Document: state.Document}}),
		"no room":     form(savedState{stateFileVersion, "x", replica.State{Version: version(9)}}),
		"not a store": bytes(func([]byte) []byte { return []byte("{}") }),
		"zeroes":      bytes(func(b []byte) []byte { return make([]byte, len(b)) }),
	}
	for _, part := range []int{16, 8, 4, 2} {
		torn[fmt.Sprintf("cut to 1/%d", part)] = bytes(func(b []byte) []byte { return b[:len(b)/part] })
		torn[fmt.Sprintf("zeroes from 1/%d on", part)] = bytes(func(b []byte) []byte { clear(b[len(b)/part:]); return b })
	}
	torn["a byte of the state"] = bytes(func(b []byte) []byte {
		at := strings.LastIndex(string(b), "s-01234")
		b[at] ^= 1 // another name, as sound as the one before
		return b
	})
	for name, tear := range torn {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "state.db")
			s, text := newTestStore(t, path, "x")
			tear(t, path)
			if got := s.Load(); got.Version != (replica.Version{}) {
				t.Errorf("%s is taken", got.Version)
			}
			if _, err := os.Stat(path + ".aside"); err != nil || !strings.Contains(text.String(), "set aside") {
				t.Errorf("%v, log %q", err, text)
			}
			if err := s.Save(state); err != nil {
				t.Error(err)
			}
			if got := s.Load(); !reflect.DeepEqual(got, state) {
				t.Errorf("saved anew: %s", got.Version)
			}
			tear(t, path) // while it runs
			if err := s.Save(replica.State{Version: version(8), Document: documentOf(2, 1)}); err != nil {
				t.Error(err)
			}
			if got := s.Load(); got.Version != version(8) {
				t.Errorf("saved over a torn one: %s, log %s", got.Version, text)
			}
		})
	}
}

// Two processes of an upgrade share the file: the newest state stays, whoever comes last.
func TestStoreSharedByTwoProcesses(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "state.db")
	var all sync.WaitGroup
	for from := range uint64(2) {
		s, text := newTestStore(t, path, "x")
		all.Go(func() {
			for _, n := range []uint64{5 + from, 3, 1 + from} {
				if err := s.Save(replica.State{Version: version(n), Document: documentOf(int(n), 1)}); err != nil {
					t.Error(err, text)
				}
			}
		})
	}
	all.Wait()
	if s, text := newTestStore(t, path, "x"); s.Load().Version != version(6) || text.String() != "" {
		t.Errorf("%s is saved, log %s", s.Load().Version, text)
	}
}

// A restart asks for changes alone; a saved state that is newer than any machine's stays.
func TestRestartFromSavedState(t *testing.T) {
	t.Parallel()
	keys, hub := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	saved := publishDocument(t, hub, documentOf(5, 1))
	publishDocument(t, hub, documentOf(5, 2))
	m, _ := startServer(t, hub, keys, "x")
	conn, err := net.Dial("tcp", m.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	peer := newSecureConn(conn)
	if err := peer.clientHandshake(keys, "x"); err != nil {
		t.Fatal(err)
	}
	var got message
	if err := errors.Join(peer.send(message{Subscribe: &saved.Version}), peer.receive(&got, time.Second)); err != nil || len(got.Changes) != 1 {
		t.Fatalf("%v, %+v", err, got)
	}
	newer := replica.State{Version: replica.Version{Term: 3, Number: 1}, Document: documentOf(7, 1)}
	h, states, _ := startFollower(t, newer, keys, "x", m)
	time.Sleep(1500 * time.Millisecond)
	if !reflect.DeepEqual(h.State(), newer) || len(states) != 0 {
		t.Errorf("at %s after %d states", h.State().Version, len(states))
	}
}

// The file's way: a change is spread, saved before; what is faulty, 10 MB long, leaves no room server or takes most of them
// away is not, and the log says why, once.
func TestLeader(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file, db := filepath.Join(dir, "document.json"), filepath.Join(dir, "state.db")
	put := func(text string) {
		t.Helper()
		if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	text := func(names ...string) string {
		var all []string
		for i, n := range names {
			all = append(all, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","zone":"a"}`, n, 9000+i))
		}
		return `{"rooms":[` + strings.Join(all, ",") + `]}`
	}
	put(text("a", "b", "c"))
	log, said := newTestLogger()
	saves := NewStore(db, "x", log)
	hub, asked := NewBroadcaster(saves.Load(), true), make(chan os.Signal)
	stop := startUntilCleanup(t, func(ctx context.Context) { NewLeader(file, 1, hub, saves, log).Run(ctx, asked) })
	waitUntil(t, "the first version", atVersion(hub, version(1)))
	for _, bad := range []struct{ text, says string }{
		{`{"rooms":[]}`, "rooms: is empty"}, {`{"discovery":"127.0.0.1:1"}`, "rooms: none is left"}, {`{"rooms`, "EOF"},
		{text("a", "b") + strings.Repeat(" ", 10<<20), "longer than"}, {text("a"), "held"},
	} {
		put(bad.text)
		waitUntil(t, bad.says, func() bool { return strings.Contains(said.String(), bad.says) })
	}
	time.Sleep(2 * filePollInterval)
	if n := strings.Count(said.String(), "not spread"); n != 5 || hub.State().Version != version(1) {
		t.Errorf("told %d times, at %s, log:\n%s", n, hub.State().Version, said)
	}
	asked <- nil
	waitUntil(t, "a list that was held and is asked for", atVersion(hub, version(2)))
	if got := saves.Load(); !reflect.DeepEqual(got, hub.State()) {
		t.Errorf("saved %s", got.Version)
	}
	put(text("a", "b"))
	waitUntil(t, "a change", atVersion(hub, version(3)))
	stop()
	// One that starts again goes on behind its last version, whatever the file has become.
	put(text("a", "b", "c"))
	hub = NewBroadcaster(saves.Load(), true)
	startUntilCleanup(t, func(ctx context.Context) { NewLeader(file, 1, hub, saves, log).Run(ctx, asked) })
	waitUntil(t, "the version after the restart", atVersion(hub, version(4)))
}

// Where the state cannot be saved nothing is spread: after a restart its version would go to another document.
func TestLeaderSavesBeforePublishing(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "document.json")
	if err := os.WriteFile(file, []byte(`{"discovery":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	log, said := newTestLogger()
	hub := NewBroadcaster(replica.State{}, true)
	saves := NewStore(filepath.Join(dir, "nowhere", "state.db"), "x", log)
	startUntilCleanup(t, func(ctx context.Context) { NewLeader(file, 1, hub, saves, log).Run(ctx, nil) })
	waitUntil(t, "a word of it", func() bool { return strings.Contains(said.String(), "not spread") })
	if v := hub.State().Version; v != (replica.Version{}) {
		t.Errorf("spread as %s", v)
	}
}

// fakeDiscovery stands in for discovery's actor.
type fakeDiscovery struct {
	handler core.UpdateHandler
	calls   chan string
}

func (i *fakeDiscovery) SetAddress(address string) { i.calls <- "move " + address }
func (i *fakeDiscovery) Watch(ctx context.Context, watch uint64) {
	i.calls <- "subscribe"
	i.handler.WatchAlive(watch)
	i.handler.EndpointsUpdated(core.EndpointUpdate{Endpoints: []core.Endpoint{{Name: "of discovery"}}})
	context.AfterFunc(ctx, func() { i.calls <- "ended"; i.handler.EndpointsUpdated(core.EndpointUpdate{WatchID: watch}) })
}
func (i *fakeDiscovery) Fetch(context.Context)                   { i.calls <- "fetch" }
func (i *fakeDiscovery) Dial(_ context.Context, done func(bool)) { i.calls <- "dial"; done(false) }
func (i *fakeDiscovery) Run(ctx context.Context)                 { <-ctx.Done() }

type updateRecorder struct {
	lists chan string
	alive chan uint64
}

func (s updateRecorder) EndpointsUpdated(r core.EndpointUpdate) {
	text := ""
	for _, in := range r.Endpoints {
		text += in.Name + " "
	}
	s.lists <- text
}
func (s updateRecorder) WatchAlive(watch uint64) {
	select {
	case s.alive <- watch:
	default:
	}
}

func expectNext[T comparable](t *testing.T, from chan T, want T) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("%v, want %v", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("%v never comes", want)
	}
}

// A balancer's list: discovery's until the document lists room servers, which then take its place, are saved, and are there at
// the next start. The document's discovery comes before a reload's.
func TestSource(t *testing.T) {
	t.Parallel()
	keys, hub := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	m, stop := startServer(t, hub, keys, "x")
	s, _ := newTestStore(t, filepath.Join(t.TempDir(), "state.db"), "x")
	log, said := newTestLogger()
	in := &fakeDiscovery{calls: make(chan string, 100)}
	out, turned := updateRecorder{make(chan string, 100), make(chan uint64, 100)}, make(chan string, 100)
	following := FollowerConfig{Machines: []replica.Server{m}, Region: "a", Site: "x"}
	start := func(saved replica.State) *Source {
		in = &fakeDiscovery{calls: in.calls} // the one before may still be ending
		source := NewSource(following, keys, s, saved, func(gate core.UpdateHandler) DiscoverySource { in.handler = gate; return in }, func(to string) { turned <- to }, out, log)
		return source
	}
	source := start(s.Load())
	end := startUntilCleanup(t, source.Run)
	source.Watch(t.Context(), 1)
	expectNext(t, in.calls, "subscribe")
	expectNext(t, out.lists, "of discovery ")
	expectNext(t, out.alive, 1)
	source.SetFallbackAddress("127.0.0.1:5")
	expectNext(t, turned, "127.0.0.1:5")
	publishDocument(t, hub, replica.Document{Discovery: "127.0.0.1:7"})
	expectNext(t, turned, "127.0.0.1:7")
	source.SetFallbackAddress("127.0.0.1:5")
	source.Dial(t.Context(), func(there bool) { out.lists <- fmt.Sprint(there) })
	expectNext(t, in.calls, "dial")
	expectNext(t, out.lists, "false")
	if len(turned) > 0 || len(out.lists) > 0 {
		t.Error("a reload's discovery comes before the document's")
	}
	d := documentOf(2, 1)
	publishDocument(t, hub, d)
	expectNext(t, in.calls, "ended") // and what it told of that is not passed on
	expectNext(t, out.lists, "s-00000 s-00001 ")
	expectNext(t, out.alive, 1)
	source.Dial(t.Context(), func(there bool) { out.lists <- fmt.Sprint(there) })
	expectNext(t, out.lists, "true")
	source.Fetch(t.Context())
	expectNext(t, out.lists, "s-00000 s-00001 ")
	waitUntil(t, "the save", func() bool { return s.Load().Version == version(2) })
	publishDocument(t, hub, documentOf(3, 1)) // what changes alone is told
	expectNext(t, out.lists, "s-00002 ")
	publishDocument(t, hub, documentOf(1, 1))
	expectNext(t, out.lists, "s-00001 s-00002 ") // gone
	publishDocument(t, hub, d)
	expectNext(t, out.lists, "s-00001 ")
	waitUntil(t, "the save", func() bool { return s.Load().Version == version(5) })
	stop()
	end()

	again := start(s.Load())
	startUntilCleanup(t, again.Run)
	again.Watch(t.Context(), 2)
	expectNext(t, out.lists, "s-00000 s-00001 ")
	waitUntil(t, "silence", again.follower.LeaderStale)
	if len(in.calls) > 0 {
		t.Errorf("discovery is asked although the saved document lists room servers: %s", <-in.calls)
	}
	again.SetFallbackAddress("127.0.0.1:5")
	if len(turned) > 0 || !strings.Contains(said.String(), "the file's discovery is not taken over") {
		t.Errorf("in silence a reload turns to another discovery, log:\n%s", said)
	}
}

// A follower that goes away leaves nothing behind at a machine, and one that says nothing is put out.
func TestDisconnectedFollowers(t *testing.T) {
	t.Parallel()
	keys, hub := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	publishDocument(t, hub, documentOf(3, 1))
	m, stop := startServer(t, hub, keys, "x")
	silent, err := net.Dial("tcp", m.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	silent.SetDeadline(time.Now().Add(testTimeout))
	if n, err := io.ReadAll(silent); len(n) > 0 || err != nil {
		t.Errorf("%d bytes, %v", len(n), err)
	}
	for range 20 {
		conn, err := net.Dial("tcp", m.Address)
		if err != nil {
			t.Fatal(err)
		}
		peer := newSecureConn(conn)
		if err := errors.Join(peer.clientHandshake(keys, "x"), peer.send(message{Subscribe: &replica.Version{}})); err != nil {
			t.Error(err)
		}
		conn.Close()
	}
	stop() // waits for all of them
}
