package httpsource

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

const (
	listPath  = "/registry/instances"
	orderSize = 8
)

// Source is the list's actor.
type Source struct {
	client *http.Client
	sink   core.UpdateHandler
	log    *logrus.Logger
	orders chan call
	moves  chan string
	news   chan news
	calls  sync.WaitGroup
	turns  core.Watchdog // nil: nobody hears

	// Owned by Run's goroutine.
	address    string
	url        string
	era        int   // counts the addresses of discovery; versions of one mean nothing at another
	generation int64 // the list's version,
	by         int   // and the call that brought it
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
	id     uint64 // the core's number of a watch
	number int
	url    string
	era    int
	from   int64
	whole  bool             // a watch that asks for the whole list first
	dialed func(there bool) // of a dial that no call follows, else nil
}

// news is what a call brought: a list, a sign of life, or its end.
type news struct {
	call    call
	listing *Listing
	err     error
}

// New returns a resolver for discovery at an address, with a list of the given version.
func New(address string, generation int64, sink core.UpdateHandler, log *logrus.Logger) *Source {
	return &Source{
		address: address, url: listURL(address), sink: sink, log: log, generation: generation, listed: true,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		orders: make(chan call, orderSize), moves: make(chan string, orderSize), news: make(chan news),
		endWatch: func() {},
	}
}

func listURL(address string) string { return "http://" + address + listPath }

// SetAddress turns to discovery at another address, for the calls that are ordered after it. The list as it is, and the
// watch that brings its changes, stand until the first of them is answered.
func (r *Source) SetAddress(address string) {
	select {
	case r.moves <- address:
	default:
		r.log.WithField("discovery", address).Warn("discovery: too many moves wait, one is left out")
	}
}

// Watch asks for what has changed and for all changes from then on.
func (r *Source) Watch(ctx context.Context, watch uint64) {
	r.order(call{ctx: ctx, watch: true, id: watch})
}

// Fetch asks for the whole list once.
func (r *Source) Fetch(ctx context.Context) { r.order(call{ctx: ctx}) }

// Dial finds out whether discovery takes a connection, without a call.
func (r *Source) Dial(ctx context.Context, done func(there bool)) {
	r.order(call{ctx: ctx, dialed: done})
}

func (r *Source) order(c call) {
	select {
	case r.orders <- c:
	default: // guards the module's actor: it never waits, and asks again when nothing comes
		r.log.Warn("discovery: too many calls wait, one is left out")
	}
}

// SetWatchdog lets a watchdog hear of the actor's turns; it is called before Run.
func (r *Source) SetWatchdog(turns core.Watchdog) { r.turns = turns }

// Run is the actor; it ends with ctx and with all its calls.
func (r *Source) Run(ctx context.Context) {
	defer r.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-r.orders:
			core.RunMonitored(r.turns, func() { r.begin(ctx, c) })
		case n := <-r.news:
			core.RunMonitored(r.turns, func() { r.hear(n) })
		}
	}
}

// begin makes a call.
func (r *Source) begin(ctx context.Context, c call) {
	r.takeMoves() // those ordered before this call come before it
	if c.dialed != nil {
		address := r.address
		r.calls.Go(func() { c.dialed(r.there(c.ctx, address)) })
		return
	}
	r.lastCall++
	c.number, c.url, c.era, c.from = r.lastCall, r.url, r.era, r.generation
	c.whole = c.watch && !r.listed
	c.ctx, c.cancel = context.WithCancel(c.ctx)
	r.calls.Go(func() { r.call(ctx, c) })
}

func (r *Source) takeMoves() {
	for {
		select {
		case address := <-r.moves:
			r.address, r.url, r.listed = address, listURL(address), false
			r.era++
		default:
			return
		}
	}
}

// there dials and lets go at once: discovery has no work with it.
func (r *Source) there(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// hear takes a list, a sign of life or the end of a call. A watch goes on until the first answer of a newer one,
// which ends it; what it still says then is old.
func (r *Source) hear(n news) {
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
		r.sink.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListFailed, WatchID: n.call.id})
		return
	}
	if n.call.watch {
		if n.call.number > r.watching {
			r.endWatch()
			r.watching, r.endWatch = n.call.number, n.call.cancel
		}
		r.sink.WatchAlive(n.call.id)
	}
	l := n.listing
	if l == nil {
		return
	}
	result := core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: l.Endpoints}
	if l.Reset {
		result.Kind = decide.ListSnapshot
	}
	switch {
	case n.call.era != r.era: // the old address's watch: its changes count, its versions do not
	case r.listed && l.Generation < r.generation && (!n.call.watch || n.call.number != r.by && (!l.Reset || l.Generation >= n.call.from)):
		// Guards against what another call has overtaken, a whole list or the changes after the version with which a
		// watch was opened: it would bring back what drains. A whole list before that version, or one of the watch that
		// brought the version in force, is of a discovery that has begun anew.
		result = core.EndpointUpdate{Kind: decide.ListDelta}
	default:
		r.generation, r.by, r.listed = l.Generation, n.call.number, r.listed || l.Reset
	}
	r.sink.EndpointsUpdated(result)
}

// call makes one call and brings what it says to the actor.
func (r *Source) call(ctx context.Context, c call) {
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
		err = r.read(c, c.url, 1, heard)
	}
	if err == nil && c.watch {
		if err = r.read(c, c.url+"?watch=1&from="+strconv.FormatInt(from, 10), 0, heard); err == nil {
			err = errors.New("watch ended")
		}
	}
	if err != nil {
		r.tell(ctx, news{call: c, err: err})
	}
}

func (r *Source) tell(ctx context.Context, n news) {
	select {
	case r.news <- n:
	case <-ctx.Done():
	}
}

// read makes one HTTP call and hands on so many lists of its answer, 0: all, and nil for each empty line.
func (r *Source) read(c call, url string, most int, heard func(*Listing)) error {
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
	// Lists are values in a stream, however they are broken into lines. Guards against garbage, half a value and one
	// that never ends: the old list stands and the call ends, for a later value would take the version past the change
	// that could not be read. The module asks again.
	in := &stream{from: resp.Body, blank: true, empty: func() { heard(nil) }}
	values := json.NewDecoder(in)
	for n := 1; ; n++ {
		l, err := decodeNext(values, func() { in.passed(values.InputOffset()) })
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("list answer: %w", err)
		}
		heard(&l)
		if n == most {
			return nil
		}
		in.next(values.Buffered())
	}
}

// stream is what a call reads its values from. It hears of the empty lines between two values, and bounds each value and
// its parts.
type stream struct {
	from   io.Reader
	empty  func()
	handed int64 // bytes that the reader of the values has been given,
	value  int64 // those of the value that comes,
	part   int64 // and of them those that are not done with
	begun  bool  // of a value something has come
	blank  bool  // so has the end of a line, and nothing on the next
}

// Read keeps the blanks before a value to itself: its reader would keep them all.
func (s *stream) Read(p []byte) (int, error) {
	for {
		room := min(maxEntry-s.part, maxList-s.value)
		if room <= 0 {
			return 0, fmt.Errorf("a value is longer than %d bytes, or a part of it than %d", maxList, maxEntry)
		}
		n, err := s.from.Read(p[:min(int64(len(p)), room)])
		s.see(p[:n])
		if s.begun || err != nil {
			s.handed += int64(n)
			return n, err
		}
	}
}

func (s *stream) see(raw []byte) {
	s.value += int64(len(raw))
	s.part += int64(len(raw))
	for _, c := range raw {
		switch {
		case s.begun:
			return
		case c == '\n' && s.blank:
			s.empty()
			s.value, s.part = 0, 0
		case c == '\n':
			s.blank = true
		case c != ' ' && c != '\t' && c != '\r':
			s.begun = true
		}
	}
}

// passed tells that what was handed on is done with up to an offset.
func (s *stream) passed(offset int64) { s.part = s.handed - offset }

// next begins a value; of what follows the last one something may have been read already. It ends in its own line.
func (s *stream) next(read io.Reader) {
	s.value, s.part, s.begun, s.blank = 0, 0, false, false
	raw, _ := io.ReadAll(read) // of the memory
	s.see(raw)
}
