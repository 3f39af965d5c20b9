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

const (
	// answerGrace is how long a client still waits for an answer after the request's deadline, so that late answers are
	// recorded as late and not as missing.
	answerGrace = 500 * time.Millisecond
	// strandedAfter is how long a client must have had no room server at the end of a run for its session to count as
	// stranded.
	strandedAfter = 3 * time.Second
	// readBufferBytes is the size of a connection's read buffer in bytes.
	readBufferBytes = 4096
)

// interrupted is a deadline in the past, with which a connection's reads and writes fail immediately.
var interrupted = time.Unix(1, 0)

// PlayerConfig is the configuration that the players of a run share.
type PlayerConfig struct {
	FrontLayer *FrontLayer
	Recorder   *invariants.Recorder
	// Class and Tenant are the traffic class and the tenant in each request.
	Class  string
	Tenant string
	// ClientTimeout is the time limit for the answer to a request. A client waits for answerGrace longer.
	ClientTimeout time.Duration
	// PlayInterval is the time between two moves in the game.
	PlayInterval time.Duration
	// MeanGame is the mean duration of a game, which is exponentially distributed; 0 if games do not end. The remaining
	// duration is chosen anew on each connection.
	MeanGame time.Duration
	// ResumesSessions says that players use session tokens.
	ResumesSessions bool
	Statistics      *Statistics
}

// Player emulates a client. It plays one session at a time and reconnects when it is told to move or its connection
// breaks. It starts over, that is, it gives up its session and begins a new one, when a balancer answers ANEW or,
// without session tokens, when it reconnects. Only Replay may be called while Play runs.
type Player struct {
	cfg  PlayerConfig
	rng  *rand.Rand
	key  string
	room string
	// session is the number of the player's current session, from 1.
	session int
	// token is the newest token of the session; empty if it has none.
	token string
	// acknowledged is the number of the last move that a room server has acknowledged.
	acknowledged uint64
	// detachedAt is when the player lost its room server; zero while it has one, between two games, and before its first
	// request is accepted.
	detachedAt time.Time
	// reconnecting says that the player has lost its room server. Its requests contain again=1 then.
	reconnecting bool
	// replay is set by Replay. While it is set, copies of each token that the player presents are presented too. It is
	// cleared when the player has attached its session with a token.
	replay atomic.Bool
}

// requestCount numbers the requests of all players of the process.
var requestCount atomic.Uint64

func newRequestID() string {
	return fmt.Sprintf("%016x", requestCount.Add(1))
}

// playerConn is a player's connection to a balancer.
type playerConn struct {
	net.Conn
	reader   *bufio.Reader
	balancer string
	// token is the session token that the request presents; empty if it has none.
	token string
}

// NewPlayer returns a player. The seed determines the player's key and its random choices. The room is the group in
// its requests.
func NewPlayer(cfg PlayerConfig, seed uint64, room string) *Player {
	rng := rand.New(rand.NewPCG(seed, 2))
	return &Player{cfg: cfg, rng: rng, key: fmt.Sprintf("%016x", rng.Uint64()), room: room}
}

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
		pause = p.connect(ctx)
	}
}

// Finish records whether the session is stranded. It has to be called after Play has returned.
func (p *Player) Finish() {
	if !p.detachedAt.IsZero() && time.Since(p.detachedAt) > strandedAfter {
		p.cfg.Recorder.Add(invariants.Event{Kind: invariants.SessionStranded, Session: p.sessionName()})
	}
}

// sessionName returns the name of the session in the client's events. Clients do not know the session IDs that room
// servers use.
func (p *Player) sessionName() string {
	return p.key + "/" + strconv.Itoa(p.session)
}

// jitter returns a random duration of at least from and below to.
func (p *Player) jitter(from, to time.Duration) time.Duration {
	return from + time.Duration(p.rng.Int64N(int64(to-from)))
}

// connect makes one request and, if it is accepted, plays until the connection ends. It returns the pause before the
// next request.
func (p *Player) connect(ctx context.Context) time.Duration {
	balancer, address := p.cfg.FrontLayer.pick("")
	conn, err := net.DialTimeout("tcp", address, p.cfg.ClientTimeout)
	if err != nil {
		return p.jitter(20*time.Millisecond, 100*time.Millisecond)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(interrupted) })
	defer stop()
	c := &playerConn{
		Conn:     conn,
		reader:   bufio.NewReaderSize(conn, readBufferBytes),
		balancer: balancer,
		token:    p.token,
	}
	id := newRequestID()
	if c.token != "" && p.replay.Load() {
		var race sync.WaitGroup
		reconnecting := p.reconnecting
		race.Go(func() { p.raceToken(c.token, reconnecting) })
		defer race.Wait()
	}
	answer, ok := p.request(ctx, c, id)
	if !ok {
		return p.jitter(20*time.Millisecond, 100*time.Millisecond)
	}
	p.cfg.Statistics.Answers.Add(1)
	return p.answered(ctx, c, answer)
}

// answered handles the answer to a request. It returns the pause before the next request.
func (p *Player) answered(ctx context.Context, c *playerConn, answer string) time.Duration {
	word, rest, _ := strings.Cut(answer, " ")
	switch word {
	case "UP":
		p.cfg.Statistics.Established.Add(1)
		return p.play(ctx, c)
	case "BUSY":
		p.cfg.Statistics.Rejected.Add(1)
		retryAfter, _ := strconv.Atoi(rest)
		return time.Duration(retryAfter)*time.Millisecond + p.jitter(0, 50*time.Millisecond)
	case "ANEW":
		p.startOver(rest)
		return 0
	}
	p.cfg.Statistics.Failed.Add(1)
	return p.jitter(50*time.Millisecond, 200*time.Millisecond)
}

// request sends a request and reads the first line of its answer. It reports false if there is no answer.
func (p *Player) request(ctx context.Context, c *playerConn, id string) (answer string, ok bool) {
	if !p.send(c, c.balancer, id, c.token, p.reconnecting) {
		return "", false
	}
	setReadDeadline(ctx, c, time.Now().Add(p.cfg.ClientTimeout+answerGrace))
	line, err := textline.Read(c.reader)
	if err != nil {
		kind := invariants.ConnectionLost
		if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
			kind = invariants.ClientLeft
		}
		p.cfg.Recorder.Add(invariants.Event{Kind: kind, Request: id})
		return "", false
	}
	setReadDeadline(ctx, c, time.Time{})
	p.cfg.Recorder.Add(invariants.Event{Kind: invariants.RequestAnswered, Request: id, Answer: line})
	return line, true
}

// setReadDeadline sets a connection's read deadline. If ctx has ended, it sets interrupted instead, so that it does
// not undo the deadline that connect sets when ctx ends.
func setReadDeadline(ctx context.Context, conn net.Conn, deadline time.Time) {
	conn.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		conn.SetReadDeadline(interrupted)
	}
}

// send records a request and then writes its first line. It reports whether the write succeeded.
func (p *Player) send(conn net.Conn, balancer, id, token string, reconnecting bool) bool {
	recorder := p.cfg.Recorder
	recorder.Add(invariants.Event{
		Kind:     invariants.RequestSent,
		Request:  id,
		Balancer: balancer,
		Deadline: recorder.Now() + p.cfg.ClientTimeout,
	})
	if _, err := io.WriteString(conn, p.firstLine(id, token, reconnecting)+"\r\n"); err != nil {
		recorder.Add(invariants.Event{Kind: invariants.ClientLeft, Request: id})
		return false
	}
	return true
}

// firstLine returns the first line of a request, without the line end.
func (p *Player) firstLine(id, token string, reconnecting bool) string {
	line := fmt.Sprintf("OPEN %s %s c=%s,t=%s,d=%d,g=%s",
		id, p.key, p.cfg.Class, p.cfg.Tenant, p.cfg.ClientTimeout.Milliseconds(), p.room)
	if p.cfg.ResumesSessions {
		if token == "" {
			token = protocol.NewSession
		}
		line += ",resume=" + token
	}
	if reconnecting {
		line += ",again=1"
	}
	return line
}
