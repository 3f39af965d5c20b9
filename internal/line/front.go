// Package line is the platform's front: clients and room servers over TCP, in lines of text. It is thin: it
// parses, relays and passes on what it sees; the core decides and holds every deadline.
package line

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"sync"
	"time"

	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

var bufferFull = bufio.ErrBufferFull

// acceptPause is the wait after a failed accept, for descriptors to come free.
const acceptPause = 5 * time.Millisecond

// Front accepts the clients' channels.
type Front struct {
	module  *core.Module
	names   Names
	dialer  net.Dialer
	log     *logrus.Logger
	actors  sync.WaitGroup
	readers sync.WaitGroup // the channels' readers and dials
}

// New returns a front for a module.
func New(module *core.Module, names Names, log *logrus.Logger) *Front {
	return &Front{module: module, names: names, log: log, dialer: net.Dialer{KeepAlive: -1}}
}

// Listen opens the clients' address.
func Listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return l.(*net.TCPListener), nil
}

// Serve accepts until ctx ends, then waits for the channels' actors.
func (f *Front) Serve(ctx context.Context, l *net.TCPListener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer f.readers.Wait()
	defer f.actors.Wait()
	for {
		conn, err := l.AcceptTCP()
		if err == nil {
			f.accept(ctx, conn)
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		// Guards against the end of the process by an accept that fails, for want of descriptors say.
		f.log.WithError(err).Warn("accept failed")
		select {
		case <-ctx.Done():
		case <-time.After(acceptPause):
		}
	}
}

func (f *Front) accept(ctx context.Context, conn *net.TCPConn) {
	c := &channel{
		front: f, client: conn, text: textproto.NewConn(conn),
		orders: make(chan order, mailboxSize), news: make(chan any), done: make(chan struct{}),
		relay: make(chan *upstream, 1),
	}
	c.call = f.module.Accept(c, core.Traits{})
	f.actors.Go(func() { c.run(ctx) })
}
