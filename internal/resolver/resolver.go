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
	client *http.Client
	sink   Sink
	log    *logrus.Logger
	orders chan call
	moves  chan string
	news   chan news
	calls  sync.WaitGroup
	turns  core.Turns // nil: nobody hears

	// Owned by Run's goroutine.
	url        string
	era        int   // counts the addresses of discovery; versions of one mean nothing at another
	generation int64 // the list's version
	listed     bool  // the generation is one of this address's
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
	url    string
	era    int
	from   int64
	whole  bool // a watch that asks for the whole list first
}

// news is what a call brought: a list, a sign of life, or its end.
type news struct {
	call    call
	listing *Listing
	err     error
}

// New returns a resolver for discovery at an address, with a list of the given version.
func New(address string, generation int64, sink Sink, log *logrus.Logger) *Resolver {
	return &Resolver{
		url: listURL(address), sink: sink, log: log, generation: generation, listed: true,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		orders: make(chan call, orderSize), moves: make(chan string, orderSize), news: make(chan news),
		endWatch: func() {},
	}
}

func listURL(address string) string { return "http://" + address + listPath }

// Move turns to discovery at another address, for the calls that are ordered after it. The list as it is, and the
// watch that brings its changes, stand until the first of them is answered.
func (r *Resolver) Move(address string) {
	select {
	case r.moves <- address:
	default:
		r.log.WithField("discovery", address).Warn("discovery: too many moves wait, one is left out")
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

// Watch lets a watchdog hear of the actor's turns; it is called before Run.
func (r *Resolver) Watch(turns core.Turns) { r.turns = turns }

// Run is the actor; it ends with ctx and with all its calls.
func (r *Resolver) Run(ctx context.Context) {
	defer r.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-r.orders:
			core.Turn(r.turns, func() { r.begin(ctx, c) })
		case n := <-r.news:
			core.Turn(r.turns, func() { r.hear(n) })
		}
	}
}

// begin makes a call.
func (r *Resolver) begin(ctx context.Context, c call) {
	r.takeMoves() // those ordered before this call come before it
	r.lastCall++
	c.number, c.url, c.era, c.from = r.lastCall, r.url, r.era, r.generation
	c.whole = c.watch && !r.listed
	c.ctx, c.cancel = context.WithCancel(c.ctx)
	r.calls.Go(func() { r.call(ctx, c) })
}

func (r *Resolver) takeMoves() {
	for {
		select {
		case address := <-r.moves:
			r.url, r.listed = listURL(address), false
			r.era++
		default:
			return
		}
	}
}

// hear takes a list, a sign of life or the end of a call. A watch goes on until the first answer of a newer one,
// which ends it; what it still says then is old.
func (r *Resolver) hear(n news) {
	if n.call.watch && n.call.number < r.watching {
		return
	}
	if n.call.era != r.era && (n.err != nil || n.call.number != r.watching) {
		// Guards the list against an address that was left: only the watch that stands there still counts, and
		// that it ends says nothing of discovery at the new address.
		n.call.cancel()
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
	l := n.listing
	if l == nil {
		return
	}
	result := core.Result{Kind: decide.ListChanges, Instances: l.Instances}
	if l.Reset {
		result.Kind = decide.ListFull
	}
	switch {
	case n.call.era != r.era: // the old address's watch: its changes count, its versions do not
	case !n.call.watch && r.listed && l.Generation < r.generation:
		// Guards against a whole list that the watch has overtaken: it would bring back what drains.
		result = core.Result{Kind: decide.ListChanges}
	default:
		r.generation, r.listed = l.Generation, r.listed || l.Reset
	}
	r.sink.Resolved(result)
}

// call makes one call and brings what it says to the actor.
func (r *Resolver) call(ctx context.Context, c call) {
	defer c.cancel()
	from := c.from
	heard := func(l *Listing) {
		if l != nil {
			from = l.Generation
		}
		r.tell(ctx, news{call: c, listing: l})
	}
	var err error
	if !c.watch || c.whole {
		err = r.read(c, c.url, heard)
	}
	if err == nil && c.watch {
		if err = r.read(c, c.url+"?watch=1&from="+strconv.FormatInt(from, 10), heard); err == nil {
			err = errors.New("watch ended")
		}
	}
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

// read makes one HTTP call and hands on each line of its answer: a list, or nil for an empty line.
func (r *Resolver) read(c call, url string, heard func(*Listing)) error {
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
		if len(in.Bytes()) == 0 {
			heard(nil)
			continue
		}
		l, err := Decode(in.Bytes())
		if err != nil {
			// Guards against garbage: the old list stands and the call ends here, for a later line would take
			// the version past the change that could not be read. The module asks again.
			return fmt.Errorf("list answer: %w", err)
		}
		heard(&l)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("list answer: %w", err)
	}
	return nil
}
