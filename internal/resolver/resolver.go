package resolver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

const (
	listPath  = "/registry/instances"
	maxList   = 1 << 20 // the longest list taken, in bytes
	orderSize = 8
)

// Sink takes what the resolver learns.
type Sink interface {
	Resolved(core.Result)
	ListAlive()
}

// Resolver is the list's actor.
type Resolver struct {
	url    string
	client *http.Client
	sink   Sink
	log    *logrus.Logger
	orders chan call
	news   chan news
	calls  sync.WaitGroup

	// Owned by Run's goroutine.
	generation int64
	lastCall   int
	watching   int    // the call whose watch is listened to
	endWatch   func() // ends it
}

// call is one call to discovery.
type call struct {
	ctx    context.Context
	cancel context.CancelFunc
	watch  bool
	number int
	from   int64
}

// news is what a call brought: a line of its answer, or its end.
type news struct {
	call call
	line []byte
	err  error
}

// New returns a resolver for discovery at an address, with a list of the given version.
func New(address string, generation int64, sink Sink, log *logrus.Logger) *Resolver {
	return &Resolver{
		url: "http://" + address + listPath, sink: sink, log: log, generation: generation,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		orders: make(chan call, orderSize), news: make(chan news), endWatch: func() {},
	}
}

// Subscribe asks for what has changed and for all changes from then on.
func (r *Resolver) Subscribe(ctx context.Context) { r.order(call{ctx: ctx, watch: true}) }

// FetchList asks for the whole list once.
func (r *Resolver) FetchList(ctx context.Context) { r.order(call{ctx: ctx}) }

func (r *Resolver) order(c call) {
	select {
	case r.orders <- c:
	default: // guards the module's actor: it never waits, and asks again when nothing comes
		r.log.Warn("discovery: too many calls wait, one is left out")
	}
}

// Run is the actor; it ends with ctx and with all its calls.
func (r *Resolver) Run(ctx context.Context) {
	defer r.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-r.orders:
			r.lastCall++
			c.number, c.from = r.lastCall, r.generation
			c.ctx, c.cancel = context.WithCancel(c.ctx)
			r.calls.Go(func() { r.call(ctx, c) })
		case n := <-r.news:
			r.hear(n)
		}
	}
}

// hear takes a line or the end of a call. A watch goes on until the first answer of a newer one, which ends it;
// what it still says then is old.
func (r *Resolver) hear(n news) {
	if n.call.watch && n.call.number < r.watching {
		return
	}
	if n.err != nil {
		r.log.WithError(n.err).Warn("discovery: call failed")
		r.sink.Resolved(core.Result{Kind: decide.ListFailed})
		return
	}
	if n.call.watch {
		if n.call.number > r.watching {
			r.endWatch()
			r.watching, r.endWatch = n.call.number, n.call.cancel
		}
		r.sink.ListAlive()
	}
	if len(n.line) == 0 {
		return
	}
	l, err := Decode(n.line)
	if err != nil {
		// Guards against garbage: the old list stands, and the module asks again.
		r.log.WithError(err).Warn("discovery: answer not understood")
		r.sink.Resolved(core.Result{Kind: decide.ListFailed})
		return
	}
	result := core.Result{Kind: decide.ListChanges, Instances: l.Instances}
	if l.Reset {
		result.Kind = decide.ListFull
	}
	if !n.call.watch && l.Generation < r.generation {
		// Guards against a whole list that the watch has overtaken: it would bring back what drains.
		result = core.Result{Kind: decide.ListChanges}
	} else {
		r.generation = l.Generation
	}
	r.sink.Resolved(result)
}

// call makes one call and brings each line of its answer to the actor.
func (r *Resolver) call(ctx context.Context, c call) {
	defer c.cancel()
	err := r.read(c, func(line []byte) {
		r.tell(ctx, news{call: c, line: line})
	})
	if err != nil {
		r.tell(ctx, news{call: c, err: err})
	}
}

func (r *Resolver) tell(ctx context.Context, n news) {
	select {
	case r.news <- n:
	case <-ctx.Done():
	}
}

func (r *Resolver) read(c call, line func([]byte)) error {
	url := r.url
	if c.watch {
		url += "?watch=1&from=" + strconv.FormatInt(c.from, 10)
	}
	req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("list request: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("list call: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("list call: status %d", resp.StatusCode)
	}
	in := bufio.NewScanner(resp.Body)
	in.Buffer(make([]byte, 0, 4096), maxList)
	for in.Scan() {
		line(append([]byte(nil), in.Bytes()...))
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("list answer: %w", err)
	}
	if c.watch {
		return errors.New("watch ended")
	}
	return nil
}
