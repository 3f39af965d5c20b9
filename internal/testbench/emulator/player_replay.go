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

// replayGrace is how long after its deadline a copy of a token still waits for its answer.
const replayGrace = time.Second

// Replay makes the player's next token be presented at two balancers besides the player's own request: once at the
// same time, when any of the three may be accepted, and once after the token was used, when none may be.
func (p *Player) Replay() {
	p.replay.Store(true)
}

// raceToken presents a token at two balancers while the player presents it too.
func (p *Player) raceToken(token string, reconnecting bool) {
	p.present(token, reconnecting, &p.cfg.Statistics.RacedTokens, &p.cfg.Statistics.RacesWon)
}

// replayToken presents a token that was used at two balancers.
func (p *Player) replayToken(token string) {
	p.present(token, false, &p.cfg.Statistics.ReplayedTokens, &p.cfg.Statistics.ReplaysAccepted)
}

// present presents a token at two balancers at once, and counts the requests and those that were accepted.
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

// requestOnce makes a request with a token, closes the connection and returns the answer; empty if there was none.
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
