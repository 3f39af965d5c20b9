package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"cottonplank/internal/session/protocol"
	"cottonplank/internal/testbench/invariants"
	"cottonplank/internal/textline"
)

// attachTimeout is how long a player waits for the token and the position of its session after its request was
// accepted.
const attachTimeout = 2 * time.Second

// reasonNoToken is the reason for starting over if the player does not use session tokens.
const reasonNoToken = "no-token"

// endOfGame is the line by which a client ends its game, and also the room server's answer to it.
const endOfGame = "BYE"

// play plays on an established connection until the connection or the game ends, the room server tells the client to
// move, or ctx ends. It returns the pause before the next request.
func (p *Player) play(ctx context.Context, c *playerConn) time.Duration {
	if !p.attach(c) {
		return p.detached()
	}
	if c.token != "" && p.replay.CompareAndSwap(true, false) {
		p.replayToken(c.token)
	}
	done := make(chan struct{})
	defer close(done)
	lines := readLines(c.reader, done)
	var gameOver <-chan time.Time
	if p.cfg.MeanGame > 0 {
		gameOver = time.After(time.Duration(p.rng.ExpFloat64() * float64(p.cfg.MeanGame)))
	}
	nextPlay := time.NewTimer(p.jitter(0, p.cfg.PlayInterval))
	defer nextPlay.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-gameOver:
			if _, err := io.WriteString(c, endOfGame+"\r\n"); err != nil {
				return p.connectionBroken(c.balancer)
			}
			nextPlay.Stop()
			gameOver = nil
		case <-nextPlay.C:
			if _, err := fmt.Fprintf(c, "PLAY %d\r\n", p.acknowledged+1); err != nil {
				return p.connectionBroken(c.balancer)
			}
			nextPlay.Reset(p.cfg.PlayInterval)
		case line, ok := <-lines:
			switch {
			case !ok && ctx.Err() != nil:
				return 0
			case !ok:
				return p.connectionBroken(c.balancer)
			case line == endOfGame:
				return p.gameEnded()
			case line == "MOVE":
				p.cfg.Statistics.Migrated.Add(1)
				return p.detached()
			}
			p.received(line)
		}
	}
}

// readLines reads lines until the connection ends or done is closed, and sends them on the returned channel, which it
// closes at the end.
func readLines(r *bufio.Reader, done <-chan struct{}) <-chan string {
	lines := make(chan string)
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
	return lines
}

// attach makes the player ready to play on a new connection, and reports whether it succeeded. Without session tokens
// a player that reconnects starts over.
func (p *Player) attach(c *playerConn) bool {
	if p.cfg.ResumesSessions {
		return p.attachWithToken(c)
	}
	if p.reconnecting {
		p.startOver(reasonNoToken)
	}
	p.attached(false)
	return true
}

// attachWithToken reads the session's new token, confirms it and reads the position. It reports false if the
// connection ends, the timeout passes or another line arrives before that.
func (p *Player) attachWithToken(c *playerConn) bool {
	c.SetReadDeadline(time.Now().Add(attachTimeout))
	defer c.SetReadDeadline(time.Time{})
	line, err := textline.Read(c.reader)
	token, ok := strings.CutPrefix(line, protocol.TokenLine(""))
	if err != nil || !ok {
		return false
	}
	p.token = token
	if _, err := io.WriteString(c, protocol.TokenReceivedLine+"\r\n"); err != nil {
		return false
	}
	line, err = textline.Read(c.reader)
	var position uint64
	if err != nil || !protocol.ParseNumbers(line, "POS", &position) {
		return false
	}
	resumed := c.token != ""
	if resumed {
		p.cfg.Statistics.Resumed.Add(1)
		p.cfg.Recorder.Add(invariants.Event{
			Kind:     invariants.SessionResumed,
			Session:  p.sessionName(),
			Position: position,
		})
		p.acknowledged = max(p.acknowledged, position)
	}
	p.attached(resumed)
	return true
}

// attached updates the state of a player that has a room server now. resumed says that it presented a token, and so
// continues an earlier session.
func (p *Player) attached(resumed bool) {
	if !p.detachedAt.IsZero() && resumed && p.cfg.Statistics.OnResumed != nil {
		p.cfg.Statistics.OnResumed(time.Since(p.detachedAt))
	}
	p.detachedAt = time.Time{}
	p.reconnecting = false
}

// detached updates the state of a player that has lost its room server. It returns the pause before the player
// reconnects.
func (p *Player) detached() time.Duration {
	if p.detachedAt.IsZero() {
		p.detachedAt = time.Now()
	}
	p.reconnecting = true
	return p.jitter(0, 40*time.Millisecond)
}

// connectionBroken counts an established connection that broke. It returns the pause before the player reconnects.
func (p *Player) connectionBroken(balancer string) time.Duration {
	if p.cfg.Statistics.OnBroken != nil {
		p.cfg.Statistics.OnBroken(balancer)
	}
	p.cfg.Statistics.Broken.Add(1)
	p.detached()
	return p.jitter(20*time.Millisecond, 200*time.Millisecond)
}

// gameEnded counts a game whose end was confirmed. It returns the pause before the next game.
func (p *Player) gameEnded() time.Duration {
	p.cfg.Statistics.GamesEnded.Add(1)
	p.newSession()
	return p.jitter(0, p.cfg.PlayInterval)
}

// startOver replaces a session that cannot be resumed by a new one.
func (p *Player) startOver(reason string) {
	p.cfg.Statistics.StartedOver.Add(1)
	if p.cfg.Statistics.OnStartedOver != nil {
		p.cfg.Statistics.OnStartedOver(reason)
	}
	p.cfg.Recorder.Add(invariants.Event{Kind: invariants.SessionStartedOver, Session: p.sessionName()})
	p.newSession()
}

// newSession resets what the player knows of its current session and begins the next one.
func (p *Player) newSession() {
	p.token = ""
	p.acknowledged = 0
	p.session++
}

// received handles a line with a new token or an acknowledged position. It ignores other lines.
func (p *Player) received(line string) {
	var position uint64
	if token, ok := strings.CutPrefix(line, protocol.TokenLine("")); ok {
		p.token = token
	} else if protocol.ParseNumbers(line, "POS", &position) {
		p.acknowledged = max(p.acknowledged, position)
		p.cfg.Recorder.Add(invariants.Event{
			Kind:     invariants.PositionAcknowledged,
			Session:  p.sessionName(),
			Position: position,
		})
	}
}
