package migration

import (
	"fmt"
	"slices"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"

	"pgregory.net/rapid"
)

// simulation simulates one session, its client, others that replay the client's tokens, two balancers and three room
// servers. Each exchange with a room server is one action. The connection may fail before the request arrives or
// before the response does, and any other action may happen between two exchanges.
type simulation struct {
	now      time.Time
	servers  map[string]*roomServer
	requests []*request
	// lastConn is the number of the newest connection.
	lastConn arbiter.Conn
	// lastClaim is the number of the newest claim.
	lastClaim uint64

	// current is the newest token that the client has.
	current token.Token
	// issued holds all tokens that the client has ever had.
	issued []token.Token
	// acknowledged is the number of moves that were acknowledged to the client.
	acknowledged uint64
	// established is the request whose connection the client uses; nil if there is none.
	established *request
	// maxEpoch is the highest epoch at which a request has had Establish as its next step.
	maxEpoch uint64
	// serverCrashed says that a room server has crashed and lost its sessions. The client may have to start over
	// after that, and acknowledged moves may be lost.
	serverCrashed bool
	// startedOver says that the client has received the answer to start over.
	startedOver bool
	// maxConfirmedEpoch is the highest epoch whose token the client has confirmed, or for which a room server has
	// granted the session to the client without a redirect.
	maxConfirmedEpoch uint64
	// fault describes the first violation of an invariant during an action; empty if there is none.
	fault string
}

// roomServer is a simulated room server, which consists of its name and its arbiter.
type roomServer struct {
	name     string
	sessions *arbiter.Arbiter
}

// request is one request that presents a token at one balancer.
type request struct {
	balancer int
	flow     *Flow
	// step is the balancer's next step.
	step Step
	// server is the room server of the attempt.
	server string
	// conn is the connection to server.
	conn arbiter.Conn
	// exportConn is the connection on which the state was exported and claimed; 0 if there is none.
	exportConn arbiter.Conn
	// exportServer is the room server of exportConn.
	exportServer string
	// byClient says that the client itself makes the request. Otherwise it is a replay of one of its tokens.
	byClient bool
	// established says that the balancer has forwarded the room server's acceptance.
	established bool
	// retries counts the attempts after the first one.
	retries int
	// tokenEpoch is the epoch of the token that was presented.
	tokenEpoch uint64
	// tokenUsed says that maxConfirmedEpoch was already higher than tokenEpoch when the token was presented, so that
	// no room server may accept the token.
	tokenUsed bool
}

// delivery says whether an exchange with a room server succeeds, or where it is interrupted.
type delivery int

const (
	delivered    delivery = iota
	requestLost           // the connection fails before the request arrives
	responseLost          // the connection fails before the response arrives
)

var session = token.SessionID{1}

func newRoomServer(name string) *roomServer {
	return &roomServer{name: name, sessions: arbiter.New(arbiter.Config{Retention: time.Hour, Limit: 10})}
}

// newSimulation returns a simulation with a session at room server "a", which is not attached. The client has its
// token.
func newSimulation() *simulation {
	s := &simulation{now: time.Unix(1e9, 0), servers: map[string]*roomServer{}}
	for _, name := range []string{"a", "b", "c"} {
		s.servers[name] = newRoomServer(name)
	}
	s.current = token.Token{Ref: token.Ref{Session: session, Epoch: 1, Fence: 77}, Server: "a"}
	s.issued = []token.Token{s.current}
	conn := s.newConn()
	s.servers["a"].sessions.Create(s.now, s.current.Ref, conn)
	s.disconnect("a", conn)
	s.maxEpoch = 1
	return s
}

func (s *simulation) newConn() arbiter.Conn {
	s.lastConn++
	return s.lastConn
}

func (s *simulation) disconnect(server string, conn arbiter.Conn) {
	s.servers[server].sessions.Disconnected(s.now, conn, session)
}

// present starts a request with a token at a balancer. server is the room server of its first attempt.
func (s *simulation) present(balancer int, presented token.Token, byClient bool, server string) *request {
	s.lastClaim++
	r := &request{
		balancer:   balancer,
		flow:       New(presented, 1000+s.lastClaim),
		server:     server,
		conn:       s.newConn(),
		byClient:   byClient,
		tokenEpoch: presented.Epoch,
		tokenUsed:  presented.Epoch < s.maxConfirmedEpoch,
	}
	r.step = r.flow.Attempt(server)
	s.requests = append(s.requests, r)
	return r
}

// retry ends the current attempt of the request and starts another one at server.
func (s *simulation) retry(r *request, server string) {
	s.disconnect(r.server, r.conn)
	r.server, r.conn = server, s.newConn()
	r.step = r.flow.Attempt(server)
}

// drop closes the connections of a request, whatever its step is, and removes the request.
func (s *simulation) drop(r *request) {
	s.disconnect(r.server, r.conn)
	if r.exportConn != 0 {
		s.disconnect(r.exportServer, r.exportConn)
	}
	if s.established == r {
		s.established = nil
	}
	if i := slices.Index(s.requests, r); i >= 0 {
		s.requests = slices.Delete(slices.Clone(s.requests), i, i+1)
	}
}

// dropAll drops all requests for which match returns true.
func (s *simulation) dropAll(match func(*request) bool) {
	for _, r := range slices.Clone(s.requests) {
		if match(r) {
			s.drop(r)
		}
	}
}

// displace drops the request of connection conn, because an arbiter has granted the session to another request, by.
// It is a violation if by is a replay and the dropped request is the client's own.
func (s *simulation) displace(by *request, conn arbiter.Conn) {
	if conn == 0 {
		return
	}
	for _, r := range s.requests {
		if r.conn != conn {
			continue
		}
		if r.byClient && !by.byClient {
			s.fail("a replay displaced the client")
		}
		s.drop(r)
		return
	}
}

// fail records a violation, which check reports after the action.
func (s *simulation) fail(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

// noteConfirmed records the epoch of the token that the client itself has presented, if a room server has granted the
// session for that token without a redirect. Older tokens are invalid from then on.
func (s *simulation) noteConfirmed(r *request, answer arbiter.Answer) {
	if r.byClient && answer.Verdict == arbiter.Granted && !r.flow.ViaRedirect {
		s.maxConfirmedEpoch = max(s.maxConfirmedEpoch, r.tokenEpoch)
	}
}

// advance executes the next step of the request. d says whether the exchange of that step succeeds.
func (s *simulation) advance(r *request, d delivery) {
	switch r.step {
	case Locate:
		r.step = r.flow.Located(s.servers[r.flow.Holder] != nil)
	case Export:
		s.export(r, d)
	case OpenReattach:
		s.reattach(r, d)
	case OpenMigrated:
		r.step = r.flow.UpstreamReady()
	case SendState:
		s.sendState(r, d)
	case Commit:
		s.commit(r, d)
	case Activate:
		s.activate(r, d)
	case Establish:
		s.establish(r, d)
	case StartOver, RetryLater:
		if r.byClient && r.step == StartOver {
			s.startedOver = true
		}
		s.drop(r)
	}
}

func (s *simulation) export(r *request, d delivery) {
	flow := r.flow
	if r.exportConn != 0 {
		s.disconnect(r.exportServer, r.exportConn)
	}
	r.exportConn, r.exportServer = s.newConn(), flow.Holder
	var answer arbiter.Answer
	if d != requestLost {
		holder, expires := s.servers[flow.Holder].sessions, s.now.Add(2*time.Second)
		answer = holder.Export(s.now, flow.Ref, flow.Claim, expires, 100, flow.ViaRedirect, r.exportConn)
		s.displace(r, answer.Displaced)
		s.noteConfirmed(r, answer)
	}
	if d != delivered {
		s.disconnect(r.exportServer, r.exportConn)
		r.step = flow.HolderDisconnected()
		return
	}
	r.step = flow.HolderAnswered(answer)
}

func (s *simulation) reattach(r *request, d delivery) {
	if d == requestLost {
		s.drop(r)
		return
	}
	flow := r.flow
	answer := s.servers[r.server].sessions.Reattach(s.now, flow.Ref, flow.Claim, flow.ViaRedirect, r.conn)
	s.displace(r, answer.Displaced)
	s.noteConfirmed(r, answer)
	switch {
	case d == responseLost:
		s.drop(r)
	case answer.Verdict == arbiter.Granted:
		r.step = flow.UpstreamHolds(answer.Ref.Epoch, answer.Position)
	default:
		r.step = flow.HolderAnswered(answer)
	}
}

func (s *simulation) sendState(r *request, d delivery) {
	flow := r.flow
	prepared := d != requestLost &&
		s.servers[r.server].sessions.Prepare(s.now, flow.Next, flow.Position, flow.State, r.conn)
	if !prepared || d != delivered {
		s.drop(r)
		return
	}
	r.step = flow.UpstreamHolds(flow.Next.Epoch, flow.Position)
}

func (s *simulation) commit(r *request, d delivery) {
	flow := r.flow
	done := d != requestLost && s.servers[flow.Holder].sessions.Commit(s.now, session, flow.Claim, r.server)
	if d != delivered {
		r.step = flow.HolderDisconnected()
		return
	}
	r.step = flow.Committed(done)
}

func (s *simulation) activate(r *request, d delivery) {
	if d == requestLost ||
		!r.flow.reattaching && !s.servers[r.server].sessions.Activate(s.now, r.conn, session) ||
		d == responseLost {
		s.drop(r)
		return
	}
	r.step = r.flow.UpstreamAccepted()
}

// establish forwards the acceptance and the new token to the client, and the client's confirmation to the room
// server.
func (s *simulation) establish(r *request, d delivery) {
	r.established = true
	if r.tokenUsed && !s.serverCrashed {
		s.fail("a used token was accepted")
	}
	if d == requestLost || !r.byClient {
		// The client never receives the token. A replay does not receive it either, and ends here.
		s.drop(r)
		return
	}
	s.current = token.Token{Ref: r.flow.Next, Server: r.server, Position: r.flow.Position}
	s.issued = append(s.issued, s.current)
	if r.flow.Position < s.acknowledged && !s.serverCrashed {
		s.fail("%d moves were acknowledged to the client, but its session has %d", s.acknowledged, r.flow.Position)
	}
	if d == responseLost {
		s.drop(r)
		return
	}
	s.servers[r.server].sessions.ConfirmToken(r.conn, session)
	s.maxConfirmedEpoch = max(s.maxConfirmedEpoch, s.current.Epoch)
	s.established, r.step = r, Wait
}

// check fails the test if an invariant is violated.
func (s *simulation) check(t *rapid.T) {
	if s.fault != "" {
		t.Fatal(s.fault)
	}
	attached := 0
	for _, server := range s.servers {
		_, n := server.sessions.Sessions()
		attached += n
	}
	if attached > 1 {
		t.Fatalf("the session is attached %d times, want at most once", attached)
	}
	for _, r := range s.requests {
		epoch := r.flow.Next.Epoch
		if epoch == 0 || r.step != Establish {
			continue
		}
		if epoch < s.maxEpoch && !s.serverCrashed {
			t.Fatalf("a session is established at epoch %d after epoch %d", epoch, s.maxEpoch)
		}
		s.maxEpoch = max(s.maxEpoch, epoch)
	}
}
