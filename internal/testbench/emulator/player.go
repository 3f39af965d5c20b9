package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/internal/session/protocol"
	"cottonplank/internal/testbench/invariants"
	"cottonplank/internal/textline"
)

// FrontLayer deals clients out among the balancers, as the platform's front layer does.
type FrontLayer struct {
	mu        sync.Mutex
	rng       *rand.Rand
	balancers []string // addresses
	names     []string
}

// NewFrontLayer returns a front without balancers.
func NewFrontLayer(seed uint64) *FrontLayer { return &FrontLayer{rng: rand.New(rand.NewPCG(seed, 1))} }

// Add lets a balancer have clients.
func (f *FrontLayer) Add(name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names, f.balancers = append(f.names, name), append(f.balancers, address)
}

// Remove takes a balancer out.
func (f *FrontLayer) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, n := range f.names {
		if n == name {
			f.names = append(f.names[:i:i], f.names[i+1:]...)
			f.balancers = append(f.balancers[:i:i], f.balancers[i+1:]...)
			return
		}
	}
}

// pick deals out one balancer, any but the given one where there is another.
func (f *FrontLayer) pick(not string) (name, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.names) == 0 {
		return "", ""
	}
	i := f.rng.IntN(len(f.names))
	if f.names[i] == not {
		i = (i + 1) % len(f.names)
	}
	return f.names[i], f.balancers[i]
}

// PlayerConfig is what all players of a run have in common.
type PlayerConfig struct {
	Front    *FrontLayer
	Recorder *invariants.Recorder
	Class    string
	Tenant   string
	Patience time.Duration // for one request
	Every    time.Duration // between two moves of the game
	Life     time.Duration // mean of a game, drawn from an exponential distribution; 0: none ends
	Tokens   bool          // they know the resumption
	Tally    *Tally
}

// Tally counts what players met; Resume gets the time from MOVE, or the break, to
// the board being back.
type Tally struct {
	BrokeAt                                                     func(balancer string) // of a connection that stood and broke
	Answers, Over                                               atomic.Int64          // answers read, games played to their end
	Placed, Moved, Broke, Resumed, StartedOver, Refused, Failed atomic.Int64
	Raced, RacedUp                                              atomic.Int64        // tokens presented beside their owner's request, and those let in first
	Replays, ReplaysUp                                          atomic.Int64        // tokens presented after they had done their work, and those let in
	Resume                                                      func(time.Duration) // of a session that went on
	Why                                                         func(reason string) // of starting over
}

// Player is one client: it plays one session, comes again when it is moved, and starts over when it is told to.
type Player struct {
	cfg     PlayerConfig
	rng     *rand.Rand
	key     string
	room    string
	session int    // how many it has begun
	token   string // its newest
	used    string // the one before
	acked   uint64
	away    time.Time // since when it has no board; zero: it plays
	moved   bool
	replay  atomic.Bool
}

var requests atomic.Uint64

// goneFor is how long after its time a client still waits for an answer that is owed, before it gives up for good.
const goneFor = 500 * time.Millisecond

// NewPlayer returns a client of a puzzle room.
func NewPlayer(cfg PlayerConfig, seed uint64, room string) *Player {
	rng := rand.New(rand.NewPCG(seed, 2))
	return &Player{cfg: cfg, rng: rng, key: fmt.Sprintf("%016x", rng.Uint64()), room: room}
}

// Replay lets the player's next token be presented at two balancers, twice: while the player presents it, when any of
// the three may come first, and once it has done its work, when none may be let in.
func (p *Player) Replay() { p.replay.Store(true) }

// name is the session's, for the recorder; a room server's own name of it is known to nobody here.
func (p *Player) name() string { return p.key + "/" + strconv.Itoa(p.session) }

// Play plays until ctx ends.
func (p *Player) Play(ctx context.Context) {
	pause := time.Duration(0)
	p.session = 1
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = p.once(ctx)
	}
}

// Finish tells the recorder of a player that ended without a board; it is called after Play.
func (p *Player) Finish() {
	if !p.away.IsZero() && time.Since(p.away) > 3*time.Second {
		p.cfg.Recorder.Add(invariants.Event{Kind: invariants.SessionStranded, Session: p.name()})
	}
}

func (p *Player) jitter(from, to time.Duration) time.Duration {
	return from + time.Duration(p.rng.Int64N(int64(to-from)))
}

// once makes one request and plays while it stands; it returns the pause before the next.
func (p *Player) once(ctx context.Context) time.Duration {
	cfg, t := p.cfg, p.cfg.Tally
	name, address := cfg.Front.pick("")
	conn, err := net.DialTimeout("tcp", address, cfg.Patience)
	if err != nil {
		return p.jitter(20*time.Millisecond, 100*time.Millisecond)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	r := bufio.NewReaderSize(conn, 4096)
	id := fmt.Sprintf("%016x", requests.Add(1))
	asked := p.token
	if asked != "" && p.replay.Load() {
		var race sync.WaitGroup
		again := p.moved
		race.Go(func() { p.present(asked, again, &t.Raced, &t.RacedUp) })
		defer race.Wait()
	}
	cfg.Recorder.Add(invariants.Event{Kind: invariants.RequestSent, Request: id, Balancer: name, Deadline: cfg.Recorder.Now() + cfg.Patience})
	if err := p.ask(conn, id, asked, p.moved); err != nil {
		cfg.Recorder.Add(invariants.Event{Kind: invariants.ClientLeft, Request: id}) // it was not taken
		return p.jitter(20*time.Millisecond, 100*time.Millisecond)
	}
	readBy(ctx, conn, time.Now().Add(cfg.Patience+goneFor))
	line, err := textline.Read(r)
	if err != nil {
		kind := invariants.ConnectionLost
		if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
			kind = invariants.ClientLeft
		}
		cfg.Recorder.Add(invariants.Event{Kind: kind, Request: id})
		return p.jitter(20*time.Millisecond, 100*time.Millisecond)
	}
	readBy(ctx, conn, time.Time{})
	cfg.Recorder.Add(invariants.Event{Kind: invariants.RequestAnswered, Request: id, Answer: line})
	t.Answers.Add(1)
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "UP":
		t.Placed.Add(1)
		return p.stands(ctx, conn, r, name, asked)
	case "BUSY":
		t.Refused.Add(1)
		ms, _ := strconv.Atoi(rest)
		return time.Duration(ms)*time.Millisecond + p.jitter(0, 50*time.Millisecond)
	case "ANEW":
		p.startOver(rest)
		return 0
	}
	t.Failed.Add(1)
	return p.jitter(50*time.Millisecond, 200*time.Millisecond)
}

// readBy sets a deadline for reading; the end of ctx, which sets one in the past, comes before it.
func readBy(ctx context.Context, conn net.Conn, t time.Time) {
	conn.SetReadDeadline(t)
	if ctx.Err() != nil {
		conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (p *Player) ask(conn net.Conn, id, token string, again bool) error {
	line := fmt.Sprintf("OPEN %s %s c=%s,t=%s,d=%d,g=%s", id, p.key, p.cfg.Class, p.cfg.Tenant, p.cfg.Patience.Milliseconds(), p.room)
	if p.cfg.Tokens {
		if token == "" {
			token = protocol.NewToken
		}
		line += ",resume=" + token
	}
	if again {
		line += ",again=1"
	}
	_, err := io.WriteString(conn, line+"\r\n")
	return err
}

// startOver forgets the session and begins another.
func (p *Player) startOver(why string) {
	p.cfg.Tally.StartedOver.Add(1)
	if p.cfg.Tally.Why != nil {
		p.cfg.Tally.Why(why)
	}
	p.cfg.Recorder.Add(invariants.Event{Kind: invariants.SessionStartedOver, Session: p.name()})
	p.token, p.used, p.acked = "", "", 0
	p.session++
}

// stands plays on a connection that stands, until it ends.
func (p *Player) stands(ctx context.Context, conn net.Conn, r *bufio.Reader, name, asked string) time.Duration {
	if p.cfg.Tokens {
		if !p.hasBoard(conn, r, asked) {
			return p.left()
		}
	} else {
		if p.moved {
			p.startOver("no-token")
		}
		p.back(false)
	}
	if asked != "" && p.replay.CompareAndSwap(true, false) {
		p.present(asked, false, &p.cfg.Tally.Replays, &p.cfg.Tally.ReplaysUp)
	}
	lines := make(chan string)
	done := make(chan struct{})
	defer close(done)
	go func() {
		defer close(lines)
		for {
			line, err := textline.Read(r)
			if err != nil {
				return
			}
			select {
			case lines <- line:
			case <-done:
				return
			}
		}
	}()
	var over <-chan time.Time
	if p.cfg.Life > 0 {
		over = time.After(time.Duration(p.rng.ExpFloat64() * float64(p.cfg.Life)))
	}
	next := time.NewTimer(p.jitter(0, p.cfg.Every))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-over:
			if _, err := io.WriteString(conn, "BYE\r\n"); err != nil {
				return p.broke(name)
			}
			next.Stop()
			over = nil
		case <-next.C:
			if _, err := fmt.Fprintf(conn, "PLAY %d\r\n", p.acked+1); err != nil {
				return p.broke(name)
			}
			next.Reset(p.cfg.Every)
		case line, ok := <-lines:
			if !ok {
				if ctx.Err() != nil {
					return 0
				}
				return p.broke(name)
			}
			if line == "BYE" { // the game is over, the next one begins
				p.cfg.Tally.Over.Add(1)
				p.token, p.used, p.acked = "", "", 0
				p.session++
				return p.jitter(0, p.cfg.Every)
			}
			if p.hear(line) {
				p.cfg.Tally.Moved.Add(1)
				return p.left()
			}
		}
	}
}

// hasBoard takes the token and the board's position, which the room server tells in answer to HAVE.
func (p *Player) hasBoard(conn net.Conn, r *bufio.Reader, asked string) bool {
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	defer conn.SetReadDeadline(time.Time{})
	line, err := textline.Read(r)
	fresh, ok := strings.CutPrefix(line, "TOKEN ")
	if err != nil || !ok {
		return false
	}
	p.token, p.used = fresh, asked
	if _, err := io.WriteString(conn, protocol.HaveLine+"\r\n"); err != nil {
		return false
	}
	line, err = textline.Read(r)
	var position uint64
	if err != nil || !protocol.Parse(line, "POS", &position) {
		return false
	}
	if asked != "" {
		p.cfg.Tally.Resumed.Add(1)
		p.cfg.Recorder.Add(invariants.Event{Kind: invariants.SessionResumed, Session: p.name(), Position: position})
		p.acked = max(p.acked, position)
	}
	p.back(asked != "")
	return true
}

// back notes that a board is there, the same as before or an empty one.
func (p *Player) back(same bool) {
	if !p.away.IsZero() && same && p.cfg.Tally.Resume != nil {
		p.cfg.Tally.Resume(time.Since(p.away))
	}
	p.away, p.moved = time.Time{}, false
}

func (p *Player) left() time.Duration {
	if p.away.IsZero() {
		p.away = time.Now()
	}
	p.moved = true
	return p.jitter(0, 40*time.Millisecond)
}

func (p *Player) broke(name string) time.Duration {
	if p.cfg.Tally.BrokeAt != nil {
		p.cfg.Tally.BrokeAt(name)
	}
	p.cfg.Tally.Broke.Add(1)
	p.left()
	return p.jitter(20*time.Millisecond, 200*time.Millisecond)
}

// hear takes a line of a connection that stands; true: the client is sent away.
func (p *Player) hear(line string) bool {
	var position uint64
	if fresh, ok := strings.CutPrefix(line, "TOKEN "); ok {
		p.token = fresh
	} else if protocol.Parse(line, "POS", &position) {
		p.acked = max(p.acked, position)
		p.cfg.Recorder.Add(invariants.Event{Kind: invariants.PositionAcknowledged, Session: p.name(), Position: position})
	}
	return line == "MOVE"
}

// present presents a token at two balancers at once and counts what they say.
func (p *Player) present(token string, again bool, times, up *atomic.Int64) {
	first, one := p.cfg.Front.pick("")
	second, other := p.cfg.Front.pick(first)
	var both sync.WaitGroup
	for _, at := range [][2]string{{first, one}, {second, other}} {
		both.Go(func() {
			times.Add(1)
			if line := p.single(at[0], at[1], token, again); strings.HasPrefix(line, "UP ") {
				up.Add(1)
			}
		})
	}
	both.Wait()
}

// single makes one request with a token at a balancer and returns its first line; the connection is closed then. It is
// empty where there is none, which the recorder hears of.
func (p *Player) single(name, address, token string, again bool) string {
	conn, err := net.DialTimeout("tcp", address, p.cfg.Patience)
	if err != nil {
		return ""
	}
	defer conn.Close()
	id, recorder := fmt.Sprintf("%016x", requests.Add(1)), p.cfg.Recorder
	recorder.Add(invariants.Event{Kind: invariants.RequestSent, Request: id, Balancer: name, Deadline: recorder.Now() + p.cfg.Patience})
	if err := p.ask(conn, id, token, again); err != nil {
		recorder.Add(invariants.Event{Kind: invariants.ClientLeft, Request: id})
		return ""
	}
	conn.SetReadDeadline(time.Now().Add(p.cfg.Patience + time.Second))
	line, err := textline.Read(bufio.NewReader(conn))
	if err != nil {
		recorder.Add(invariants.Event{Kind: invariants.ConnectionLost, Request: id})
		return ""
	}
	recorder.Add(invariants.Event{Kind: invariants.RequestAnswered, Request: id, Answer: line})
	return line
}
