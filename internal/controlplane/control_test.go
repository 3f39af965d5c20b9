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

const soon = 20 * time.Second

// logged is a log that can be looked at while it is written.
type logged struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func logger() (*logrus.Logger, *logged) {
	log, text := logrus.New(), &logged{}
	log.SetOutput(text)
	return log, text
}

func keyring(t *testing.T) *Keyring {
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

func rooms(n, weight int) (d replica.Document) {
	for i := range n {
		d.Rooms = append(d.Rooms, endpoint.Entry{Name: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("127.1.%d.%d:9000", i>>8, i&255), Zone: "a",
			Weight: float64(weight)})
	}
	return d
}

// spread writes a document into a hub.
func spread(t *testing.T, h *Broadcaster, d replica.Document) replica.State {
	t.Helper()
	state, _, err := h.take(func(r *replica.Replica) (bool, error) {
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

// run has an actor run until the test ends, or is stopped.
func run(t *testing.T, do func(context.Context)) (stop func()) {
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

// machine serves a hub.
func machine(t *testing.T, h *Broadcaster, keys *Keyring, site string) (replica.Server, func()) {
	t.Helper()
	l := listen(t)
	log, _ := logger()
	stop := run(t, func(ctx context.Context) { NewServer(h, keys, site, log).Serve(ctx, l) })
	return replica.Server{Address: l.Addr().String(), Region: "a"}, stop
}

// balancer follows machines; states are those that it was told of.
func balancer(t *testing.T, saved replica.State, keys *Keyring, site string, machines ...replica.Server) (h *Broadcaster, states chan replica.State, text *logged) {
	t.Helper()
	log, text := logger()
	h, states = NewBroadcaster(saved, false), make(chan replica.State, 10000)
	f := NewFollower(h, machines, "a", 1, keys, site, func(s replica.State) { states <- s }, log)
	run(t, f.Run)
	return h, states, text
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(soon); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func has(h *Broadcaster, v replica.Version) func() bool {
	return func() bool { return h.State().Version == v }
}

func version(n uint64) replica.Version { return replica.Version{Term: 1, Number: n} }

// A whole state of many pieces, then changes, through a machine that follows the one that writes. When the machine is gone the
// follower goes on at the other, with changes alone.
func TestFollowThroughAMachine(t *testing.T) {
	t.Parallel()
	keys := keyring(t)
	writer := NewBroadcaster(replica.State{}, true)
	spread(t, writer, rooms(20000, 1))
	first, stopFirst := machine(t, writer, keys, "x")
	middle := NewBroadcaster(replica.State{}, true)
	log, _ := logger()
	run(t, NewFollower(middle, []replica.Server{first}, "a", 2, keys, "x", func(replica.State) {}, log).Run)
	second, stopSecond := machine(t, middle, keys, "x")
	other := replica.Server{Address: first.Address, Region: "b"}
	h, states, text := balancer(t, replica.State{}, keys, "x", second, other)
	until(t, "the whole state", has(h, version(1)))
	spread(t, writer, rooms(20001, 1))
	until(t, "a change", has(h, version(2)))
	start := time.Now()
	stopSecond()
	spread(t, writer, rooms(20002, 1))
	until(t, "a change at the other machine", has(h, version(3)))
	if took := time.Since(start); took > replica.LeaderTimeout {
		t.Errorf("the change after the machine's end took %v", took)
	}
	if !reflect.DeepEqual(h.State(), writer.State()) || len(states) != 3 || !strings.Contains(text.String(), other.Address) {
		t.Errorf("at %s after %d states, log:\n%s", h.State().Version, len(states), text)
	}
	stopFirst()
	until(t, "silence", func() bool { return strings.Contains(text.String(), "nothing heard of the writer for 6s") })
	time.Sleep(500 * time.Millisecond)
	if n := strings.Count(text.String(), "nothing heard"); n != 1 {
		t.Errorf("silence is told %d times", n)
	}
}

// Three of six machines are gone, one of them hanging, while a balancer starts with 100 versions to go; the machines are of
// different ages.
func TestMachinesOfDifferentAges(t *testing.T) {
	t.Parallel()
	keys := keyring(t)
	newer, older := NewBroadcaster(replica.State{}, true), NewBroadcaster(replica.State{}, true)
	old := spread(t, older, rooms(10, 1))
	spread(t, newer, rooms(10, 1))
	for i := range 100 {
		spread(t, newer, rooms(10, i+2))
	}
	m1, stop := machine(t, newer, keys, "x")
	m2, _ := machine(t, older, keys, "x")
	hangs, closed, also := listen(t), listen(t), listen(t)
	closed.Close()
	also.Close()
	var all []replica.Server
	for _, l := range []net.Listener{hangs, closed, also} {
		all = append(all, replica.Server{Address: l.Addr().String(), Region: "a"})
	}
	m1.Region, m2.Region = "b", "c"
	h, states, _ := balancer(t, old, keys, "x", append(all, m1, m2)...)
	start := time.Now()
	until(t, "the newer state", has(h, version(101)))
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
func TestFramesThatAreNotTaken(t *testing.T) {
	t.Parallel()
	keys, sound := keyring(t), NewBroadcaster(replica.State{}, true)
	want := spread(t, sound, rooms(3, 1))
	bad := spread(t, NewBroadcaster(replica.State{}, true), rooms(5, 1))
	frame := func(t *testing.T, l *link) []byte { // of a state that is newer than the sound one
		bad.Version.Term = 9
		p := bad.Chunks()[0]
		body, err := cbor.Marshal(message{Piece: &p})
		if err != nil {
			t.Fatal(err)
		}
		return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...), tag(l.sending, l.sent, body)...)
	}
	for name, play := range map[string]func(t *testing.T, conn net.Conn, l *link) error{
		"cut": func(t *testing.T, conn net.Conn, l *link) error {
			raw := frame(t, l)
			_, err := conn.Write(raw[:len(raw)-1])
			return err
		},
		"changed": func(t *testing.T, conn net.Conn, l *link) error {
			raw := frame(t, l)
			raw[len(raw)/2] ^= 1
			_, err := conn.Write(raw)
			return err
		},
		"out of its order": func(t *testing.T, conn net.Conn, l *link) error {
			l.sent += 3
			_, err := conn.Write(frame(t, l))
			return err
		},
		"too long": func(t *testing.T, conn net.Conn, l *link) error {
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
					peer := newLink(conn)
					var m message
					if err = peer.answer(keys, "x"); err == nil {
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
			m, _ := machine(t, sound, keys, "x")
			m.Region = "b"
			h, states, _ := balancer(t, replica.State{}, keys, "x", replica.Server{Address: l.Addr().String(), Region: "a"}, m)
			until(t, "the sound state", has(h, want.Version))
			if err := <-played; err != nil {
				t.Error(err)
			}
			// The hub has a version a moment before the follower hands it on.
			select {
			case taken := <-states:
				if taken.Version != want.Version {
					t.Errorf("version %s was taken, want %s", taken.Version, want.Version)
				}
			case <-time.After(soon):
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
func TestMachineThatFallsSilent(t *testing.T) {
	t.Parallel()
	keys, hub := keyring(t), NewBroadcaster(replica.State{}, true)
	want := spread(t, hub, rooms(3, 1))
	l, beaten := listen(t), make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		peer := newLink(conn)
		var m message
		beaten <- errors.Join(peer.answer(keys, "x"), peer.receive(&m, time.Second), peer.send(message{Beat: &beat{}}))
		time.Sleep(soon)
	}()
	m, _ := machine(t, hub, keys, "x")
	m.Region = "b"
	h, _, text := balancer(t, replica.State{}, keys, "x", replica.Server{Address: l.Addr().String(), Region: "a"}, m)
	if err := <-beaten; err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	until(t, "the other machine's state", has(h, want.Version))
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
	ours.SetReadDeadline(time.Now().Add(soon))
	if _, _, err := newLink(ours).body(); !errors.Is(err, errLong) {
		t.Error(err)
	}
	if err := newLink(ours).send(make([]byte, replica.MaxMessageBytes+1)); !errors.Is(err, errLong) {
		t.Error(err)
	}
}

// A machine or a follower under another key, or of another site, gets nothing and gives nothing; a key that is added later is
// good without a signal.
func TestOtherKeysAndSites(t *testing.T) {
	t.Parallel()
	mine, others := keyring(t), keyring(t)
	hub := NewBroadcaster(replica.State{}, true)
	spread(t, hub, rooms(3, 1))
	log, text := logger()
	l := listen(t)
	run(t, func(ctx context.Context) { NewServer(hub, mine, "x", log).Serve(ctx, l) })
	m := replica.Server{Address: l.Addr().String(), Region: "a"}
	foreign, _, _ := balancer(t, replica.State{}, others, "x", m)
	elsewhere, _, _ := balancer(t, replica.State{}, mine, "y", m)
	good, _, _ := balancer(t, replica.State{}, mine, "x", m)
	until(t, "the sound follower's state", has(good, version(1)))
	until(t, "a word of the refusal", func() bool { return strings.Contains(text.String(), "a follower was refused") })
	time.Sleep(300 * time.Millisecond)
	if v := foreign.State().Version; v != (replica.Version{}) {
		t.Errorf("another key brings %s", v)
	}
	if v := elsewhere.State().Version; v != (replica.Version{}) {
		t.Errorf("another site brings %s", v)
	}
	// A machine that does not have the key cannot answer a follower that does.
	fake, _ := machine(t, hub, others, "x")
	conn, err := net.Dial("tcp", fake.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := newLink(conn).call(mine, "x"); err == nil {
		t.Error("a machine without the key is taken for one")
	}
	others.mu.Lock()
	others.read = mine.read
	others.mu.Unlock()
	until(t, "the state under the new key", has(foreign, version(1)))
}

func store(t *testing.T, path, site string) (*Store, *logged) {
	log, text := logger()
	return NewStore(path, site, log), text
}

// What was saved comes back, and an older state does not take the place of a newer one. A file that is torn, of another site or of
// a newer form is set aside, and a save makes a new one.
func TestStore(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "state.db")
	s, text := store(t, path, "x")
	if got := s.Load(); got.Version != (replica.Version{}) || text.String() != "" {
		t.Errorf("no file: %v, log %s", got.Version, text)
	}
	state := replica.State{Version: version(7), Document: rooms(3000, 1)}
	older := replica.State{Version: version(6), Document: rooms(1, 1)}
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
	form := func(v saved) func(*testing.T, string) {
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
			sum := sumOf(body)
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
		"empty site":  form(saved{savedForm, "", state}),
		"other site":  form(saved{savedForm, "y", state}),
		"newer form":  form(saved{savedForm + 1, "x", state}),
		"no version":  form(saved{savedForm, "x", replica.State{Document: state.Document}}),
		"no room":     form(saved{savedForm, "x", replica.State{Version: version(9)}}),
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
			s, text := store(t, path, "x")
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
			if err := s.Save(replica.State{Version: version(8), Document: rooms(2, 1)}); err != nil {
				t.Error(err)
			}
			if got := s.Load(); got.Version != version(8) {
				t.Errorf("saved over a torn one: %s, log %s", got.Version, text)
			}
		})
	}
}

// Two processes of an upgrade share the file: the newest state stays, whoever comes last.
func TestStoreIsShared(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "state.db")
	var all sync.WaitGroup
	for from := range uint64(2) {
		s, text := store(t, path, "x")
		all.Go(func() {
			for _, n := range []uint64{5 + from, 3, 1 + from} {
				if err := s.Save(replica.State{Version: version(n), Document: rooms(int(n), 1)}); err != nil {
					t.Error(err, text)
				}
			}
		})
	}
	all.Wait()
	if s, text := store(t, path, "x"); s.Load().Version != version(6) || text.String() != "" {
		t.Errorf("%s is saved, log %s", s.Load().Version, text)
	}
}

// A restart asks for changes alone; a saved state that is newer than any machine's stays.
func TestSavedState(t *testing.T) {
	t.Parallel()
	keys, hub := keyring(t), NewBroadcaster(replica.State{}, true)
	saved := spread(t, hub, rooms(5, 1))
	spread(t, hub, rooms(5, 2))
	m, _ := machine(t, hub, keys, "x")
	conn, err := net.Dial("tcp", m.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	peer := newLink(conn)
	if err := peer.call(keys, "x"); err != nil {
		t.Fatal(err)
	}
	var got message
	if err := errors.Join(peer.send(message{Ask: &saved.Version}), peer.receive(&got, time.Second)); err != nil || len(got.Changes) != 1 {
		t.Fatalf("%v, %+v", err, got)
	}
	newer := replica.State{Version: replica.Version{Term: 3, Number: 1}, Document: rooms(7, 1)}
	h, states, _ := balancer(t, newer, keys, "x", m)
	time.Sleep(1500 * time.Millisecond)
	if !reflect.DeepEqual(h.State(), newer) || len(states) != 0 {
		t.Errorf("at %s after %d states", h.State().Version, len(states))
	}
}

// The file's way: a change is spread, saved before; what is faulty, 10 MB long, leaves no room server or takes most of them
// away is not, and the log says why, once.
func TestWriter(t *testing.T) {
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
	log, said := logger()
	saves := NewStore(db, "x", log)
	hub, asked := NewBroadcaster(saves.Load(), true), make(chan os.Signal)
	stop := run(t, func(ctx context.Context) { NewLeader(file, 1, hub, saves, log).Run(ctx, asked) })
	until(t, "the first version", has(hub, version(1)))
	for _, bad := range []struct{ text, says string }{
		{`{"rooms":[]}`, "rooms: is empty"}, {`{"discovery":"127.0.0.1:1"}`, "rooms: none is left"}, {`{"rooms`, "EOF"},
		{text("a", "b") + strings.Repeat(" ", 10<<20), "longer than"}, {text("a"), "held"},
	} {
		put(bad.text)
		until(t, bad.says, func() bool { return strings.Contains(said.String(), bad.says) })
	}
	time.Sleep(2 * fileEvery)
	if n := strings.Count(said.String(), "not spread"); n != 5 || hub.State().Version != version(1) {
		t.Errorf("told %d times, at %s, log:\n%s", n, hub.State().Version, said)
	}
	asked <- nil
	until(t, "a list that was held and is asked for", has(hub, version(2)))
	if got := saves.Load(); !reflect.DeepEqual(got, hub.State()) {
		t.Errorf("saved %s", got.Version)
	}
	put(text("a", "b"))
	until(t, "a change", has(hub, version(3)))
	stop()
	// One that starts again goes on behind its last version, whatever the file has become.
	put(text("a", "b", "c"))
	hub = NewBroadcaster(saves.Load(), true)
	run(t, func(ctx context.Context) { NewLeader(file, 1, hub, saves, log).Run(ctx, asked) })
	until(t, "the version after the restart", has(hub, version(4)))
}

// Where the state cannot be saved nothing is spread: after a restart its version would go to another document.
func TestWriterSavesBeforeItSpreads(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "document.json")
	if err := os.WriteFile(file, []byte(`{"discovery":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	log, said := logger()
	hub := NewBroadcaster(replica.State{}, true)
	saves := NewStore(filepath.Join(dir, "nowhere", "state.db"), "x", log)
	run(t, func(ctx context.Context) { NewLeader(file, 1, hub, saves, log).Run(ctx, nil) })
	until(t, "a word of it", func() bool { return strings.Contains(said.String(), "not spread") })
	if v := hub.State().Version; v != (replica.Version{}) {
		t.Errorf("spread as %s", v)
	}
}

// inner stands in for discovery's actor.
type inner struct {
	sink  core.UpdateHandler
	calls chan string
}

func (i *inner) SetAddress(address string) { i.calls <- "move " + address }
func (i *inner) Watch(ctx context.Context, watch uint64) {
	i.calls <- "subscribe"
	i.sink.WatchAlive(watch)
	i.sink.EndpointsUpdated(core.EndpointUpdate{Endpoints: []core.Endpoint{{Name: "of discovery"}}})
	context.AfterFunc(ctx, func() { i.calls <- "ended"; i.sink.EndpointsUpdated(core.EndpointUpdate{WatchID: watch}) })
}
func (i *inner) Fetch(context.Context)                   { i.calls <- "fetch" }
func (i *inner) Dial(_ context.Context, done func(bool)) { i.calls <- "dial"; done(false) }
func (i *inner) Run(ctx context.Context)                 { <-ctx.Done() }

type sink struct {
	lists chan string
	alive chan uint64
}

func (s sink) EndpointsUpdated(r core.EndpointUpdate) {
	text := ""
	for _, in := range r.Endpoints {
		text += in.Name + " "
	}
	s.lists <- text
}
func (s sink) WatchAlive(watch uint64) {
	select {
	case s.alive <- watch:
	default:
	}
}

func next[T comparable](t *testing.T, from chan T, want T) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("%v, want %v", got, want)
		}
	case <-time.After(soon):
		t.Fatalf("%v never comes", want)
	}
}

// A balancer's list: discovery's until the document lists room servers, which then take its place, are saved, and are there at
// the next start. The document's discovery comes before a reload's.
func TestSource(t *testing.T) {
	t.Parallel()
	keys, hub := keyring(t), NewBroadcaster(replica.State{}, true)
	m, stop := machine(t, hub, keys, "x")
	s, _ := store(t, filepath.Join(t.TempDir(), "state.db"), "x")
	log, said := logger()
	in := &inner{calls: make(chan string, 100)}
	out, turned := sink{make(chan string, 100), make(chan uint64, 100)}, make(chan string, 100)
	following := FollowerConfig{Machines: []replica.Server{m}, Region: "a", Site: "x"}
	start := func(saved replica.State) *Source {
		in = &inner{calls: in.calls} // the one before may still be ending
		source := NewSource(following, keys, s, saved, func(gate core.UpdateHandler) DiscoverySource { in.sink = gate; return in }, func(to string) { turned <- to }, out, log)
		return source
	}
	source := start(s.Load())
	end := run(t, source.Run)
	source.Watch(t.Context(), 1)
	next(t, in.calls, "subscribe")
	next(t, out.lists, "of discovery ")
	next(t, out.alive, 1)
	source.SetFallbackAddress("127.0.0.1:5")
	next(t, turned, "127.0.0.1:5")
	spread(t, hub, replica.Document{Discovery: "127.0.0.1:7"})
	next(t, turned, "127.0.0.1:7")
	source.SetFallbackAddress("127.0.0.1:5")
	source.Dial(t.Context(), func(there bool) { out.lists <- fmt.Sprint(there) })
	next(t, in.calls, "dial")
	next(t, out.lists, "false")
	if len(turned) > 0 || len(out.lists) > 0 {
		t.Error("a reload's discovery comes before the document's")
	}
	d := rooms(2, 1)
	spread(t, hub, d)
	next(t, in.calls, "ended") // and what it told of that is not passed on
	next(t, out.lists, "s-00000 s-00001 ")
	next(t, out.alive, 1)
	source.Dial(t.Context(), func(there bool) { out.lists <- fmt.Sprint(there) })
	next(t, out.lists, "true")
	source.Fetch(t.Context())
	next(t, out.lists, "s-00000 s-00001 ")
	until(t, "the save", func() bool { return s.Load().Version == version(2) })
	spread(t, hub, rooms(3, 1)) // what changes alone is told
	next(t, out.lists, "s-00002 ")
	spread(t, hub, rooms(1, 1))
	next(t, out.lists, "s-00001 s-00002 ") // gone
	spread(t, hub, d)
	next(t, out.lists, "s-00001 ")
	until(t, "the save", func() bool { return s.Load().Version == version(5) })
	stop()
	end()

	again := start(s.Load())
	run(t, again.Run)
	again.Watch(t.Context(), 2)
	next(t, out.lists, "s-00000 s-00001 ")
	until(t, "silence", again.follower.LeaderStale)
	if len(in.calls) > 0 {
		t.Errorf("discovery is asked although the saved document lists room servers: %s", <-in.calls)
	}
	again.SetFallbackAddress("127.0.0.1:5")
	if len(turned) > 0 || !strings.Contains(said.String(), "the file's discovery is not taken over") {
		t.Errorf("in silence a reload turns to another discovery, log:\n%s", said)
	}
}

// A follower that goes away leaves nothing behind at a machine, and one that says nothing is put out.
func TestFollowersThatGo(t *testing.T) {
	t.Parallel()
	keys, hub := keyring(t), NewBroadcaster(replica.State{}, true)
	spread(t, hub, rooms(3, 1))
	m, stop := machine(t, hub, keys, "x")
	silent, err := net.Dial("tcp", m.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	silent.SetDeadline(time.Now().Add(soon))
	if n, err := io.ReadAll(silent); len(n) > 0 || err != nil {
		t.Errorf("%d bytes, %v", len(n), err)
	}
	for range 20 {
		conn, err := net.Dial("tcp", m.Address)
		if err != nil {
			t.Fatal(err)
		}
		peer := newLink(conn)
		if err := errors.Join(peer.call(keys, "x"), peer.send(message{Ask: &replica.Version{}})); err != nil {
			t.Error(err)
		}
		conn.Close()
	}
	stop() // waits for all of them
}
