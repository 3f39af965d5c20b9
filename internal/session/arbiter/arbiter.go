// Package arbiter is the arbiter of sessions at a room server: who holds which session, at which epoch, and to where
// one went. Balancers share nothing, so that a session attaches at most once is decided here, where its state lies.
// It is the reference for what docs/resume-protocol.md asks of a room server, and what the stand-ins run. Pure: no I/O
// and no clock; the caller gives it the time and the numbers of its connections.
package arbiter

import (
	"slices"
	"time"

	"cottonplank/internal/session/token"
)

// Conn numbers a connection of the room server; 0 is none.
type Conn uint64

// Verdict is the ledger's answer.
type Verdict uint8

// The verdicts.
const (
	Granted       Verdict = iota
	InUse                 // held by an attach or a claim that is under way; asking again later is sound
	TokenUsed             // the token has done its work: the session went on from it
	Ended                 // the session has ended
	Moved                 // the session went to another room server
	StateTooLarge         // the state is larger than the asker takes
	Unknown               // nothing is held, or no longer
)

func (v Verdict) String() string {
	return [...]string{"granted", "in use", "used", "over", "moved", "large", "unknown"}[v]
}

// Answer is a verdict and what belongs to it.
type Answer struct {
	Verdict   Verdict
	Position  uint64
	State     []byte        // Granted
	Displaced Conn          // Granted: a connection that lost the session and must be closed; 0: none
	MovedTo   string        // Moved: the room server,
	Ref       token.Ref     // and the hold there
	Wait      time.Duration // InUse: until the claim runs out; 0: unknown
}

// Config is what a ledger starts with.
type Config struct {
	Retention time.Duration // how long a session without a connection, and the trace of one that went, are kept
	Limit     int           // sessions and traces at most; past it nothing new is kept
}

// Arbiter holds the sessions of one room server.
type Arbiter struct {
	cfg     Config
	records map[token.SessionID]*record
	swept   time.Time
}

// mostTraces bounds what is remembered of one session's ways.
const mostTraces = 16

// record is all that is known of one session.
type record struct {
	holds  []*hold // one, and more only while several balancers prepare the same move
	traces []trace
	over   bool
	until  time.Time // when it is forgotten, if nothing of it is attached
}

// hold is a state of a session that lies here.
type hold struct {
	ref       token.Ref
	priors    []prior // whose tokens are good until the client shows that it has the one of ref
	confirmed bool    // it has shown that
	prepared  bool    // brought by a move that may not have been committed; nothing attaches until it is
	conn      Conn
	claim     uint64 // of the move that takes it away; 0: none
	claimant  Conn
	claimEnds time.Time
	position  uint64
	state     []byte
}

// prior is an earlier attach of a hold. Where its own token was shown once, only that token is good for it: a trace
// that leads to it comes from one before, which had done its work.
type prior struct {
	ref       token.Ref
	confirmed bool
}

// trace says where a hold went.
type trace struct {
	prior
	to   string
	next token.Ref
}

// New returns an empty ledger.
func New(cfg Config) *Arbiter { return &Arbiter{cfg: cfg, records: map[token.SessionID]*record{}} }

// Create holds a new session of a connection. False: there are too many, or the session is known; it is then no session
// of this ledger, and the client plays without a token.
func (l *Arbiter) Create(now time.Time, ref token.Ref, conn Conn) bool {
	l.sweep(now)
	if l.records[ref.Session] != nil || len(l.records) >= l.cfg.Limit {
		return false
	}
	l.records[ref.Session] = &record{holds: []*hold{{ref: ref, conn: conn}}, until: now.Add(l.cfg.Retention)}
	return true
}

// Reattach attaches a session that lies here to a connection, under the next epoch and the fence next. via says that the
// asker was sent here by the trace of another room server and does not hold the token of ref itself.
func (l *Arbiter) Reattach(now time.Time, ref token.Ref, next uint64, via bool, conn Conn) Answer {
	r, h, a := l.find(now, ref, next, via, conn)
	if h == nil {
		return a
	}
	a.Displaced = l.detach(h)
	h.priors = append(h.priors, prior{h.ref, h.confirmed})
	h.ref = token.Ref{Session: ref.Session, Epoch: h.ref.Epoch + 1, Fence: next}
	h.prepared, h.confirmed, h.conn = false, false, conn
	l.settle(r, h)
	a.Ref, a.Position, a.State = h.ref, h.position, h.state
	return a
}

// Export gives a session's state to a move that claims it until ends; from then on nothing is attached. The claim ends
// too when the claimant's connection does. Asked again by the same claim, it gives the state again.
func (l *Arbiter) Export(now time.Time, ref token.Ref, claim uint64, ends time.Time, most int, via bool, claimant Conn) Answer {
	_, h, a := l.find(now, ref, claim, via, claimant)
	if h == nil {
		return a
	}
	if len(h.state) > most {
		return Answer{Verdict: StateTooLarge, Position: h.position}
	}
	a.Displaced = l.detach(h)
	h.claim, h.claimant, h.claimEnds = claim, claimant, ends
	a.Ref, a.Position, a.State = h.ref, h.position, h.state
	return a
}

// Commit ends a move: the session is gone from here, and a trace says where it went. False: another has claimed or
// attached it meanwhile, and the move must be given up.
func (l *Arbiter) Commit(now time.Time, session token.SessionID, claim uint64, to string) bool {
	l.sweep(now)
	r := l.records[session]
	if r == nil {
		return false
	}
	for _, h := range r.holds {
		if claim == 0 || h.claim != claim { // one that has run out is good while no other came
			continue
		}
		next := token.Ref{Session: session, Epoch: h.ref.Epoch + 1, Fence: claim}
		r.traces = append(r.traces, trace{prior{h.ref, h.confirmed}, to, next})
		for _, p := range h.priors {
			r.traces = append(r.traces, trace{p, to, next})
		}
		r.holds = nil // a rival that was only prepared can never be attached now
		r.until = now.Add(l.cfg.Retention)
		return true
	}
	return false
}

// Prepare keeps a state that a move brought. Only the move's own connection, or an asker whom a trace sent here for
// this very hold, attaches it.
func (l *Arbiter) Prepare(now time.Time, ref token.Ref, position uint64, state []byte, conn Conn) bool {
	l.sweep(now)
	r := l.records[ref.Session]
	if r == nil {
		if len(l.records) >= l.cfg.Limit {
			return false
		}
		r = &record{}
		l.records[ref.Session] = r
	}
	r.until = now.Add(l.cfg.Retention)
	// A connection's GO is for what it brought last.
	r.holds = slices.DeleteFunc(r.holds, func(h *hold) bool { return h.prepared && h.conn == conn && h.ref != ref })
	for _, h := range r.holds {
		if h.ref == ref {
			if h.conn != 0 && h.conn != conn || !h.prepared {
				return false
			}
			h.conn, h.position, h.state = conn, position, state
			return true
		}
	}
	r.holds = append(r.holds, &hold{ref: ref, prepared: true, conn: conn, position: position, state: state})
	return true
}

// Activate attaches what a connection has prepared: the move was committed.
func (l *Arbiter) Activate(now time.Time, conn Conn, session token.SessionID) bool {
	r := l.records[session]
	if r == nil {
		return false
	}
	for _, h := range r.holds {
		if h.conn == conn && h.prepared {
			h.prepared = false
			l.settle(r, h)
			r.until = now.Add(l.cfg.Retention)
			return true
		}
	}
	return false
}

// ConfirmToken notes that the client has the token of this attach: those before it are used up.
func (l *Arbiter) ConfirmToken(conn Conn, session token.SessionID) {
	if h := l.attached(conn, session); h != nil {
		h.confirmed, h.priors = true, nil
	}
}

// SaveState notes the state of an attached session. False: the connection does not hold it any more, and what it brought
// must not be acknowledged.
func (l *Arbiter) SaveState(conn Conn, session token.SessionID, position uint64, state []byte) bool {
	h := l.attached(conn, session)
	if h == nil {
		return false
	}
	h.position, h.state = position, state
	return true
}

// Disconnected notes that a connection has ended: what it held waits for its token, what it claimed is free.
func (l *Arbiter) Disconnected(now time.Time, conn Conn, session token.SessionID) {
	r := l.records[session]
	if r == nil {
		return
	}
	for _, h := range r.holds {
		if h.conn == conn {
			h.conn = 0
			r.until = now.Add(l.cfg.Retention)
		}
		if h.claimant == conn {
			h.claim, h.claimant = 0, 0
		}
	}
}

// End notes that the session of a connection was played to its end.
func (l *Arbiter) End(now time.Time, conn Conn, session token.SessionID) {
	if h := l.attached(conn, session); h != nil {
		r := l.records[session]
		r.holds, r.over, r.until = nil, true, now.Add(l.cfg.Retention)
	}
}

// Sessions counts what is held, and how much of it is attached.
func (l *Arbiter) Sessions() (held, attached int) {
	for _, r := range l.records {
		for _, h := range r.holds {
			held++
			if h.conn != 0 && !h.prepared {
				attached++
			}
		}
	}
	return held, attached
}

// find looks up what a ref may take. With no hold the answer says why.
func (l *Arbiter) find(now time.Time, ref token.Ref, by uint64, via bool, conn Conn) (*record, *hold, Answer) {
	l.sweep(now)
	r := l.records[ref.Session]
	if r == nil {
		return nil, nil, Answer{Verdict: Unknown}
	}
	for _, h := range r.holds {
		own := h.ref == ref && !via // the token of this very attach: its bearer has it, so it is confirmed
		earlier := h.prior(ref, via)
		switch {
		case own && !h.prepared:
			h.confirmed, h.priors = true, nil
		case h.ref == ref && via && !h.confirmed, earlier:
			// Guards an attach under way against a token that is presented twice.
			if h.conn != 0 && h.conn != conn {
				return r, nil, Answer{Verdict: InUse}
			}
		default:
			continue
		}
		if h.claim != 0 && h.claim != by && now.Before(h.claimEnds) {
			return r, nil, Answer{Verdict: InUse, Wait: h.claimEnds.Sub(now)}
		}
		return r, h, Answer{Verdict: Granted}
	}
	for _, t := range r.traces {
		if t.ref == ref {
			if via && t.confirmed {
				break
			}
			return r, nil, Answer{Verdict: Moved, MovedTo: t.to, Ref: t.next}
		}
	}
	if r.over {
		return r, nil, Answer{Verdict: Ended}
	}
	for _, h := range r.holds {
		if h.prepared && len(r.traces) == 0 {
			return r, nil, Answer{Verdict: Unknown}
		}
	}
	return r, nil, Answer{Verdict: TokenUsed}
}

// prior tells whether a ref is an earlier attach whose token is still good. One that is shown uses up those before it.
func (h *hold) prior(ref token.Ref, via bool) bool {
	for i, p := range h.priors {
		if p.ref == ref && !(via && p.confirmed) {
			if !via {
				h.priors = h.priors[i:]
				h.priors[0].confirmed = true
			}
			return true
		}
	}
	return false
}

// detach takes a hold from its connection and from a claim that has run out.
func (l *Arbiter) detach(h *hold) (cut Conn) {
	if !h.prepared {
		cut = h.conn // one that has only prepared it hears so at its GO
	}
	h.conn, h.claim, h.claimant = 0, 0, 0
	return cut
}

// settle leaves one hold of a session: what else was prepared lost its move. Traces of earlier stays remain, as a client
// that never got the token of this attach comes by them; the way along them ends, for epochs only rise.
func (l *Arbiter) settle(r *record, h *hold) {
	r.holds, r.over = []*hold{h}, false
	r.traces = r.traces[max(len(r.traces)-mostTraces, 0):]
}

func (l *Arbiter) attached(conn Conn, session token.SessionID) *hold {
	if r := l.records[session]; r != nil {
		for _, h := range r.holds {
			if h.conn == conn && !h.prepared && conn != 0 {
				return h
			}
		}
	}
	return nil
}

// sweep forgets what has been without a connection for too long.
func (l *Arbiter) sweep(now time.Time) {
	if now.Sub(l.swept) < l.cfg.Retention/8 {
		return
	}
	l.swept = now
	for id, r := range l.records {
		if now.Before(r.until) {
			continue
		}
		kept := false
		for _, h := range r.holds {
			kept = kept || h.conn != 0 || h.claim != 0 && now.Before(h.claimEnds)
		}
		if !kept {
			delete(l.records, id)
		}
	}
}
