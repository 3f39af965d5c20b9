package emulator

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/internal/testbench/invariants"
	"cottonplank/internal/textline"
)

// replayGrace is how long after its deadline a request with a copied token still waits for its answer.
const replayGrace = time.Second

// Replay makes copies of the next token that the player presents. Two balancers receive a copy at the same time as
// the player's own request. Several of these three requests may be accepted, but only one after the other: the token
// stays valid until a client confirms a newer one, and the client of an accepted copy confirms none. After the player
// has attached its session with the token, two balancers receive a copy again, and neither may accept it.
func (p *Player) Replay() {
	p.replay.Store(true)
}

// raceToken presents copies of a token at two balancers while the player itself presents it.
func (p *Player) raceToken(token string, reconnecting bool) {
	p.present(token, reconnecting, &p.cfg.Statistics.RacedTokens, &p.cfg.Statistics.RacesWon)
}

// replayToken presents copies of a token at two balancers after the player has used it.
func (p *Player) replayToken(token string) {
	p.present(token, false, &p.cfg.Statistics.ReplayedTokens, &p.cfg.Statistics.ReplaysAccepted)
}

// present presents a token at two balancers at the same time. It counts the requests in presented, and those that
// were accepted in accepted.
func (p *Player) present(token string, reconnecting bool, presented, accepted *atomic.Int64) {
	firstName, firstAddress := p.cfg.FrontLayer.pick("")
	secondName, secondAddress := p.cfg.FrontLayer.pick(firstName)
	var requests sync.WaitGroup
	for _, balancer := range []balancerAddress{{firstName, firstAddress}, {secondName, secondAddress}} {
		requests.Go(func() {
			presented.Add(1)
			if strings.HasPrefix(p.requestOnce(balancer, token, reconnecting), "UP ") {
				accepted.Add(1)
			}
		})
	}
	requests.Wait()
}

// requestOnce makes a request with a token, closes the connection and returns the first line of the answer; empty if
// there was none. Unlike a player's own request, one that times out is recorded as a lost connection.
func (p *Player) requestOnce(balancer balancerAddress, token string, reconnecting bool) string {
	conn, err := net.DialTimeout("tcp", balancer.address, p.cfg.ClientTimeout)
	if err != nil {
		return ""
	}
	defer conn.Close()
	id := newRequestID()
	if !p.send(conn, balancer.name, id, token, reconnecting) {
		return ""
	}
	conn.SetReadDeadline(time.Now().Add(p.cfg.ClientTimeout + replayGrace))
	line, err := textline.Read(bufio.NewReader(conn))
	if err != nil {
		p.cfg.Recorder.Add(invariants.Event{Kind: invariants.ConnectionLost, Request: id})
		return ""
	}
	p.cfg.Recorder.Add(invariants.Event{Kind: invariants.RequestAnswered, Request: id, Answer: line})
	return line
}
