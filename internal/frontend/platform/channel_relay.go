package platform

// What is passed on between a client and its room server once the connection stands, and how either end is passed on.

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"cottonplank/decide"
)

// restWithin is how long the rest of a line may take that a move found half read.
const restWithin = 300 * time.Millisecond

// moveWithin is how long a client may take to accept its MOVE.
const moveWithin = 500 * time.Millisecond

// relayUp passes the client's bytes on, as they come, until one side ends; a server that takes nothing
// holds the client back.
func (c *channel) relayUp(up *upstream) error {
	for {
		if _, err := c.text.R.Peek(1); err != nil {
			return err
		}
		c.await(true) // before the bytes go out: no answer can come sooner
		raw, _ := c.text.R.Peek(c.text.R.Buffered())
		if _, err := up.conn.Write(raw); err != nil {
			return nil // the server's reader tells how that side ended
		}
		c.text.R.Discard(len(raw))
	}
}

// readPiece reads a line, or as much of one as the buffer holds. A move that finds a line half read waits for the rest,
// but not long: the client gets it whole, or nothing of it.
func readPiece(up *upstream) ([]byte, error) {
	raw, err := up.text.R.ReadSlice('\n')
	if len(raw) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return raw, err
	}
	begun := bytes.Clone(raw)
	up.conn.SetReadDeadline(time.Now().Add(restWithin))
	raw, err = up.text.R.ReadSlice('\n')
	if err != nil {
		return nil, os.ErrDeadlineExceeded
	}
	up.conn.SetReadDeadline(time.Unix(1, 0))
	return append(begun, raw...), nil
}

// await tells the core that the client's bytes await an answer, or that one has come.
func (c *channel) await(yes bool) {
	c.awaits.Lock()
	defer c.awaits.Unlock()
	if c.awaiting == yes {
		return
	}
	c.awaiting = yes
	if yes {
		c.front.module.ResponseAwaited(c.call)
	} else {
		c.front.module.ServerResponded(c.call)
	}
}

// relayDown passes the server's lines on, whole, so that MOVE can come between two of them.
func (c *channel) relayDown(up *upstream) {
	code := decide.Reset
	var tokens *kept
	if c.session != nil {
		tokens = &c.session.kept
	}
	ended := false // the room server has said that it ends the connection
	for whole := true; ; {
		raw, err := readPiece(up)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if ended {
				err = io.EOF // the client was told already: MOVE would come after the end
			} else {
				code = decide.Cancelled
			}
			c.tell(newsServerEnd{code, err})
			return
		}
		if len(raw) > 0 {
			switch word, rest, _ := bytes.Cut(bytes.TrimRight(raw, "\r\n"), []byte{' '}); string(word) {
			case "LOAD":
				if load, err := parseLoad(string(rest)); err == nil {
					c.front.module.SetLoad(c.call, load)
				}
			case "BYE":
				code, ended = decide.OK, true
			case "MOVE":
				code, ended = decide.Cancelled, true
			}
			c.await(false)
			if begins := whole; tokens != nil {
				whole = raw[len(raw)-1] == '\n'
				if begins && whole {
					before, goes := tokens.pass(raw)
					if !goes {
						raw = nil
					}
					raw = append([]byte(before), raw...) // one write: neither comes without the other
				}
			}
			if _, err := c.client.Write(raw); err != nil {
				return // the client's reader tells how that side ended
			}
		}
		if err != nil && !errors.Is(err, bufferFull) {
			c.tell(newsServerEnd{code, err})
			return
		}
	}
}

// clientEnded passes the client's end on to the room server in the same way.
func (c *channel) clientEnded(err error) bool {
	if !c.stands || c.up == nil {
		return false // it left before its answer, or after a final one
	}
	if err == nil {
		return true
	}
	if !errors.Is(err, io.EOF) {
		c.leave(true)
		return false
	}
	if c.up.conn.CloseWrite() != nil {
		c.leave(false)
		return false
	}
	c.left = true
	c.front.module.HalfClosed(c.call)
	return true
}

// leave closes the server's side of a standing connection whose client left.
func (c *channel) leave(reset bool) {
	n := c.up.n
	c.closeUp(reset)
	c.front.module.AttemptEnded(c.call, n, decide.Cancelled, decide.NoLoadReport)
}

// serverEnded passes the server's end on to the client in the same way, or finishes a move.
func (c *channel) serverEnded(n newsServerEnd) bool {
	if c.up == nil {
		return false
	}
	number := c.up.n
	if c.left && n.code == decide.Reset { // Guards a room server against blame for an end that follows its client's.
		n.code = decide.Cancelled
	}
	moved := errors.Is(n.err, os.ErrDeadlineExceeded)
	if moved {
		move := "MOVE"
		if c.session != nil {
			move = c.session.kept.line() + move
		}
		if c.text.PrintfLine("%s", move) != nil {
			return false
		}
	} else if !errors.Is(n.err, io.EOF) {
		c.client.SetLinger(0)
		c.closeUp(true)
		c.front.module.AttemptEnded(c.call, number, n.code, decide.NoLoadReport)
		return false
	}
	c.closeUp(false)
	c.front.module.AttemptEnded(c.call, number, n.code, decide.NoLoadReport)
	c.front.module.HalfClosed(c.call)
	return c.client.CloseWrite() == nil
}
