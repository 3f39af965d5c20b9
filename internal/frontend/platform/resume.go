package platform

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"cottonplank/internal/core"
	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/migration"
	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
	"cottonplank/internal/textline"

	"golang.org/x/sync/semaphore"
)

// SessionLimits bound what sessions that move may take.
type SessionLimits struct {
	Site          string
	TokenLifetime time.Duration // of a token
	MaxState      int           // bytes of one session's state
	MaxBytes      int64         // of all states in flight
	MaxMigrations int           // states in flight
}

// SessionResumer lets sessions go on with a token. Its keys may be exchanged while it is used; all else stays.
type SessionResumer struct {
	limits SessionLimits
	ring   atomic.Pointer[token.Ring]
	bytes  *semaphore.Weighted
	moves  *semaphore.Weighted
}

// NewSessionResumer returns what a Front takes as its Resuming.
func NewSessionResumer(limits SessionLimits, ring *token.Ring) *SessionResumer {
	r := &SessionResumer{limits: limits, bytes: semaphore.NewWeighted(limits.MaxBytes),
		moves: semaphore.NewWeighted(int64(limits.MaxMigrations))}
	r.ring.Store(ring)
	return r
}

// SetKeys takes other keys into use; tokens under way are opened by them from now on.
func (r *SessionResumer) SetKeys(ring *token.Ring) { r.ring.Store(ring) }

// sessionRoom is what a first line may grow by when the field of a session takes the place of the client's.
const sessionRoom = 160

// claimSpare is how long a claim outlives the request's own deadline.
const claimSpare = time.Second

// session is a channel's part in a session. The channel's actor owns it.
type session struct {
	open   protocol.Open   // of a session that begins
	flow   *migration.Flow // of one that goes on; nil: it begins
	token  token.Token
	holder *holder
	at     core.Upstream // of the attempt
	kept   kept
}

// holder is the connection to the room server that holds the state, as long as a claim stands there.
type holder struct {
	ctx    context.Context
	cancel context.CancelFunc
	conn   net.Conn
	text   *textproto.Conn
	out    bool  // a call is under way: its goroutine has the connection
	held   int64 // bytes taken of Resuming.bytes
	moves  bool  // one taken of Resuming.moves
}

// News of a holder's calls.
type (
	newsHolder struct {
		h      *holder
		answer arbiter.Answer
		err    error
	}
	newsCommit struct {
		h   *holder
		yes bool
		err error
	}
)

// kept is what a standing connection needs to give its client tokens. The reader from the room server owns it while
// the connection is relayed, the actor before and after.
type kept struct {
	front    *Frontend
	on       bool // the room server keeps the session
	token    token.Token
	renew    time.Time
	position uint64
}

func randomNumber() uint64 {
	var raw [8]byte
	for {
		rand.Read(raw[:])
		if n := binary.BigEndian.Uint64(raw[:]); n != 0 {
			return n
		}
	}
}

// beginSession reads what the first line says of a session; false: the token is refused, and the core answers.
func (c *channel) beginSession(r *core.Request, at time.Time) bool {
	asked, set := c.first.resume, c.front.resuming
	if set == nil || asked == "" || c.first.at != "" || len(c.first.head)+len(c.first.tail) > maxLine-sessionRoom {
		return true // as any field that the program does not know
	}
	if asked == protocol.NewToken {
		var id token.SessionID
		rand.Read(id[:])
		ref := token.Ref{Session: id, Epoch: 1, Fence: randomNumber()}
		c.session = &session{open: protocol.Open{Mode: protocol.ModeNew, Ref: ref}}
		return true
	}
	r.Resumer = c
	opened, err := set.ring.Load().Open(asked, set.limits.Site, at)
	if err == nil && opened.Room != c.first.group {
		c.front.module.RejectToken(c.call, *r, core.Reason(migration.WrongRoom.String()))
		return false
	}
	if err != nil {
		c.front.module.RejectToken(c.call, *r, core.Reason(migration.ReasonForError(err).String()))
		return false
	}
	c.session = &session{flow: migration.New(opened, randomNumber()), token: opened}
	return true
}

// firstLine is the line for an attempt of this channel's.
func (c *channel) firstLine(wait time.Duration) string {
	if c.session == nil {
		return c.first.forward(wait)
	}
	return c.first.forwardSession(wait, c.session.open)
}

// resumes begins an attempt of a session that goes on: its connection is up.
func (c *channel) resumes() bool {
	c.front.module.AttemptDialed(c.call, c.up.n)
	return c.step(c.session.flow.Attempt(c.session.at.Name))
}

// step makes the flow's next step; false ends the actor.
func (c *channel) step(s migration.Step) bool {
	f, m := c.session.flow, c.front.module
	// Guards clients that left while their state travelled: no second line, claim or commit follows for them.
	if yes, stays := c.awaited(); !yes {
		return stays
	}
	switch s {
	case migration.Locate:
		m.LocateHolder(c.call, c.up.n, f.Holder)
	case migration.OpenReattach, migration.OpenMigrated:
		c.session.open = protocol.Open{Mode: protocol.ModeReattach, Ref: f.Ref, Next: f.Claim, ViaRedirect: f.ViaRedirect}
		if s == migration.OpenMigrated {
			c.session.open = protocol.Open{Mode: protocol.ModeMigrate, Ref: f.Next, Position: f.Position, Size: len(f.State)}
		}
		if c.up.sent {
			c.say(c.firstLine(c.up.wait))
			return true
		}
		return c.sendFirst()
	case migration.SendState:
		// The room server may take its time to read; the actor does not wait, and what fails shows at the reader.
		up, state := c.up, f.State
		c.front.readers.Go(func() { up.conn.Write(state) })
	case migration.Commit:
		call := protocol.Commit{Session: f.Ref.Session, Claim: f.Claim, To: c.session.at.Name}
		h := c.session.holder
		c.ask(h, func() any {
			line, err := h.say(call.String())
			return newsCommit{h, line == protocol.CommitDone, err}
		})
	case migration.Activate:
		c.closeHolder()
		c.say(protocol.ActivateLine)
	case migration.Establish:
		c.isUp()
	case migration.StartOver:
		m.StartOver(c.call, c.up.n, core.Reason(f.Reason.String()))
	case migration.RetryLater:
		m.RetryLater(c.call, c.up.n, f.RetryAfter)
	}
	return true
}

// say writes a line to the attempt's room server; that it cannot shows at the reader.
func (c *channel) say(line string) { c.up.text.PrintfLine("%s", line) }

// located goes on once the core has told where the state is.
func (c *channel) located(ctx context.Context, o holderCommand) bool {
	if c.up == nil || c.up.n != o.n {
		return true
	}
	f := c.session.flow
	if s := f.Located(o.known); s != migration.Export {
		return c.step(s)
	}
	c.closeHolder()
	ctx, cancel := context.WithCancel(ctx)
	h := &holder{ctx: ctx, cancel: cancel}
	c.session.holder = h
	set := c.front.resuming
	call := protocol.Export{Ref: f.Ref, Claim: f.Claim, MaxState: set.limits.MaxState, ViaRedirect: f.ViaRedirect,
		ClaimFor: (c.up.wait + claimSpare).Truncate(time.Millisecond)}
	c.ask(h, func() any {
		answer, err := c.export(ctx, h, o.server.Address, call)
		return newsHolder{h, answer, err}
	})
	return true
}

// ask makes a call on a holder's connection beside the actor, which gets both back with the news.
func (c *channel) ask(h *holder, call func() any) {
	h.out = true
	c.front.readers.Go(func() {
		news := call()
		select {
		case c.news <- news:
		case <-c.done:
			c.release(h)
		}
	})
}

// export fetches a state; it runs beside the actor, which gets h back with the news.
func (c *channel) export(ctx context.Context, h *holder, address string, call protocol.Export) (a arbiter.Answer, err error) {
	set := c.front.resuming
	if err := set.moves.Acquire(ctx, 1); err != nil {
		return a, err
	}
	h.moves = true
	conn, err := c.connect(ctx, address)
	if err != nil {
		return a, err
	}
	h.conn, h.text = conn, textproto.NewConn(conn)
	line, err := h.say(call.String())
	if err != nil {
		return a, err
	}
	a, size, ok := protocol.ParseAnswer(line, call.Ref.Session)
	if !ok {
		return arbiter.Answer{Verdict: arbiter.Unknown}, nil // it does not know the extension
	}
	if size > call.MaxState {
		return arbiter.Answer{Verdict: arbiter.StateTooLarge}, nil
	}
	if a.Verdict == arbiter.Granted {
		// Past the bound the client comes again: the state stays where it is, and the claim ends with the connection.
		if !set.bytes.TryAcquire(int64(size)) {
			return arbiter.Answer{Verdict: arbiter.InUse}, nil
		}
		h.held = int64(size)
		a.State = make([]byte, size)
		stop := h.interrupts()
		defer stop()
		_, err = io.ReadFull(h.text.R, a.State)
	}
	return a, err
}

// interrupts ends what the connection waits for with the holder's context.
func (h *holder) interrupts() (stop func() bool) {
	return context.AfterFunc(h.ctx, func() { h.conn.SetDeadline(time.Unix(1, 0)) })
}

// say makes a call and reads the line that answers it.
func (h *holder) say(call string) (string, error) {
	stop := h.interrupts()
	defer stop()
	if err := h.text.PrintfLine("%s", call); err != nil {
		return "", err
	}
	return textline.Read(h.text.R)
}

// exported goes on with the answer to EXPORT.
func (c *channel) exported(n newsHolder) bool {
	n.h.out = false
	if c.session.holder != n.h {
		c.release(n.h)
		return true
	}
	if c.up == nil {
		c.closeHolder() // the attempt has ended meanwhile, the next one asks again
		return true
	}
	if n.err != nil {
		c.closeHolder()
		return c.step(c.session.flow.HolderDisconnected())
	}
	if n.answer.Verdict == arbiter.Granted {
		c.front.module.StateFetched(c.call, c.up.n)
	} else {
		c.closeHolder()
	}
	return c.step(c.session.flow.HolderAnswered(n.answer))
}

// committed goes on with the answer to COMMIT.
func (c *channel) committed(n newsCommit) bool {
	n.h.out = false
	if c.session.holder != n.h {
		c.release(n.h)
		return true
	}
	c.closeHolder()
	if c.up == nil {
		return true // the next attempt asks what became of it
	}
	if n.err != nil {
		return c.step(c.session.flow.HolderDisconnected())
	}
	return c.step(c.session.flow.Committed(n.yes))
}

// closeHolder ends the claim, if there is one that was not committed. While its call is out, the news bring it back.
func (c *channel) closeHolder() {
	if c.session == nil || c.session.holder == nil {
		return
	}
	h := c.session.holder
	c.session.holder = nil
	h.cancel()
	if !h.out {
		c.release(h)
	}
}

// dropCall gives up a call whose attempt is over; a state that is here stays for the next one.
func (c *channel) dropCall() {
	if c.session != nil && c.session.holder != nil && c.session.holder.out {
		c.closeHolder()
	}
}

// release gives back what a holder's connection took.
func (c *channel) release(h *holder) {
	c.front.close(h.conn)
	h.conn = nil
	if h.held > 0 {
		c.front.resuming.bytes.Release(h.held)
		h.held = 0
	}
	if h.moves {
		c.front.resuming.moves.Release(1)
		h.moves = false
	}
}

// said takes a line that a room server answers to a session that goes on; known is false where it is none of these, more
// is what step tells.
func (c *channel) said(line string) (known, more bool) {
	f := c.session.flow
	var epoch, position uint64
	if line == protocol.ReadyLine {
		return true, c.step(f.UpstreamReady())
	}
	if protocol.Parse(line, "HELD", &epoch, &position) {
		return true, c.step(f.UpstreamHolds(epoch, position))
	}
	a, _, ok := protocol.ParseAnswer(line, f.Ref.Session)
	if !ok || a.Verdict == arbiter.Granted || c.session.open.Mode != protocol.ModeReattach {
		return false, true
	}
	return true, c.step(f.HolderAnswered(a))
}

// keeps prepares a connection that stands for tokens.
func (c *channel) keeps() {
	ref := c.session.open.Ref
	if f := c.session.flow; f != nil {
		ref = f.Next
	}
	c.session.kept = kept{front: c.front, token: token.Token{Ref: ref, Site: c.front.resuming.limits.Site,
		Room: c.first.group, Server: c.session.at.Name}}
}

// pass looks at a whole line of the room server before it goes to the client. It returns what is to be written before
// the line, and whether the line goes on.
func (k *kept) pass(raw []byte) (before string, goes bool) {
	line := strings.TrimRight(string(raw), "\r\n")
	var epoch, position uint64
	switch {
	case !k.on && protocol.Parse(line, "KEPT", &epoch, &position):
		// One of another epoch keeps something else; the client gets no token for it.
		k.on, k.position = epoch == k.token.Epoch, position
		return k.line(), false
	case protocol.Parse(line, "POS", &position):
		k.position = position
	case line == "MOVE":
		return k.line(), true
	}
	if k.on && time.Now().After(k.renew) {
		return k.line(), true
	}
	return "", true
}

// line is a new token for the client, with its end; empty where the session is not kept.
func (k *kept) line() string {
	if !k.on {
		return ""
	}
	set, now := k.front.resuming, time.Now()
	k.token.Position, k.token.Expires = k.position, now.Add(set.limits.TokenLifetime)
	k.renew = now.Add(set.limits.TokenLifetime / 2)
	sealed, err := set.ring.Load().Seal(k.token, now, rand.Reader)
	k.front.module.TokenIssued(err == nil)
	if err != nil {
		return "" // no key seals: the client starts over when it must
	}
	return protocol.TokenLine(sealed) + "\r\n"
}
