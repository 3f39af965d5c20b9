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
	listPath         = "/registry/instances"
	requestQueueSize = 8
)

// Source is the list's actor.
type Source struct {
	client         *http.Client
	handler        core.UpdateHandler
	log            *logrus.Logger
	requests       chan call
	addressChanges chan string
	events         chan callEvent
	calls          sync.WaitGroup
	watchdog       core.Watchdog // nil: nobody hears

	// Owned by Run's goroutine.
	address           string
	url               string
	addressEpoch      int   // counts the addresses of discovery; versions of one mean nothing at another
	generation        int64 // the list's version,
	generationCall    int   // and the call that brought it
	hasSnapshot       bool  // the generation is one of this address's
	lastCallNumber    int
	activeWatch       int    // the call whose watch is listened to
	cancelActiveWatch func() // ends it
}

// call is one call to discovery.
type call struct {
	ctx            context.Context
	cancel         context.CancelFunc
	watch          bool
	watchID        uint64 // the core's number of a watch
	number         int
	url            string
	addressEpoch   int
	fromGeneration int64
	snapshotFirst  bool             // a watch that asks for the whole list first
	onDialed       func(there bool) // of a dial that no call follows, else nil
}

// callEvent is what a call brought: a list, a sign of life, or its end.
type callEvent struct {
	call    call
	listing *Listing
	err     error
}

// New returns a resolver for discovery at an address, with a list of the given version.
func New(address string, generation int64, sink core.UpdateHandler, log *logrus.Logger) *Source {
	return &Source{
		address: address, url: listURL(address), handler: sink, log: log, generation: generation, hasSnapshot: true,
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		requests: make(chan call, requestQueueSize), addressChanges: make(chan string, requestQueueSize), events: make(chan callEvent),
		cancelActiveWatch: func() {},
	}
}

func listURL(address string) string { return "http://" + address + listPath }

// SetAddress turns to discovery at another address, for the calls that are ordered after it. The list as it is, and the
// watch that brings its changes, stand until the first of them is answered.
func (r *Source) SetAddress(address string) {
	select {
	case r.addressChanges <- address:
	default:
		r.log.WithField("discovery", address).Warn("discovery: too many moves wait, one is left out")
	}
}

// Watch asks for what has changed and for all changes from then on.
func (r *Source) Watch(ctx context.Context, watch uint64) {
	r.enqueue(call{ctx: ctx, watch: true, watchID: watch})
}

// Fetch asks for the whole list once.
func (r *Source) Fetch(ctx context.Context) { r.enqueue(call{ctx: ctx}) }

// Dial finds out whether discovery takes a connection, without a call.
func (r *Source) Dial(ctx context.Context, done func(there bool)) {
	r.enqueue(call{ctx: ctx, onDialed: done})
}

func (r *Source) enqueue(c call) {
	select {
	case r.requests <- c:
	default: // guards the module's actor: it never waits, and asks again when nothing comes
		r.log.Warn("discovery: too many calls wait, one is left out")
	}
}

// SetWatchdog lets a watchdog hear of the actor's turns; it is called before Run.
func (r *Source) SetWatchdog(turns core.Watchdog) { r.watchdog = turns }

// Run is the actor; it ends with ctx and with all its calls.
func (r *Source) Run(ctx context.Context) {
	defer r.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-r.requests:
			core.RunMonitored(r.watchdog, func() { r.startCall(ctx, c) })
		case n := <-r.events:
			core.RunMonitored(r.watchdog, func() { r.handleEvent(n) })
		}
	}
}

// startCall makes a call.
func (r *Source) startCall(ctx context.Context, c call) {
	r.applyAddressChanges() // those ordered before this call come before it
	if c.onDialed != nil {
		address := r.address
		r.calls.Go(func() { c.onDialed(r.canConnect(c.ctx, address)) })
		return
	}
	r.lastCallNumber++
	c.number, c.url, c.addressEpoch, c.fromGeneration = r.lastCallNumber, r.url, r.addressEpoch, r.generation
	c.snapshotFirst = c.watch && !r.hasSnapshot
	c.ctx, c.cancel = context.WithCancel(c.ctx)
	r.calls.Go(func() { r.call(ctx, c) })
}

func (r *Source) applyAddressChanges() {
	for {
		select {
		case address := <-r.addressChanges:
			r.address, r.url, r.hasSnapshot = address, listURL(address), false
			r.addressEpoch++
		default:
			return
		}
	}
}

// canConnect dials and lets go at once: discovery has no work with it.
func (r *Source) canConnect(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// handleEvent takes a list, a sign of life or the end of a call. A watch goes on until the first answer of a newer one,
// which ends it; what it still says then is old.
func (r *Source) handleEvent(n callEvent) {
	if n.call.watch && n.call.number < r.activeWatch {
		return
	}
	if n.call.addressEpoch != r.addressEpoch && (n.err != nil || n.call.number != r.activeWatch) {
		// Guards the list against an address that was left: only the watch that stands there still counts, and
		// that it ends says nothing of discovery at the new address.
		n.call.cancel()
		return
	}
	if n.err != nil {
		r.log.WithError(n.err).Warn("discovery: call failed")
		r.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListFailed, WatchID: n.call.watchID})
		return
	}
	if n.call.watch {
		if n.call.number > r.activeWatch {
			r.cancelActiveWatch()
			r.activeWatch, r.cancelActiveWatch = n.call.number, n.call.cancel
		}
		r.handler.WatchAlive(n.call.watchID)
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
	case n.call.addressEpoch != r.addressEpoch: // the old address's watch: its changes count, its versions do not
	case r.hasSnapshot && l.Generation < r.generation && (!n.call.watch || n.call.number != r.generationCall && (!l.Reset || l.Generation >= n.call.fromGeneration)):
		// Guards against what another call has overtaken, a whole list or the changes after the version with which a
		// watch was opened: it would bring back what drains. A whole list before that version, or one of the watch that
		// brought the version in force, is of a discovery that has begun anew.
		result = core.EndpointUpdate{Kind: decide.ListDelta}
	default:
		r.generation, r.generationCall, r.hasSnapshot = l.Generation, n.call.number, r.hasSnapshot || l.Reset
	}
	r.handler.EndpointsUpdated(result)
}

// call makes one call and brings what it says to the actor.
func (r *Source) call(ctx context.Context, c call) {
	defer c.cancel()
	from := c.fromGeneration
	heard := func(l *Listing) {
		if l != nil {
			from = l.Generation
		}
		r.emit(ctx, callEvent{call: c, listing: l})
	}
	var err error
	if !c.watch || c.snapshotFirst {
		err = r.readListings(c, c.url, 1, heard)
	}
	if err == nil && c.watch {
		if err = r.readListings(c, c.url+"?watch=1&from="+strconv.FormatInt(from, 10), 0, heard); err == nil {
			err = errors.New("watch ended")
		}
	}
	if err != nil {
		r.emit(ctx, callEvent{call: c, err: err})
	}
}

func (r *Source) emit(ctx context.Context, n callEvent) {
	select {
	case r.events <- n:
	case <-ctx.Done():
	}
}

// readListings makes one HTTP call and hands on so many lists of its answer, 0: all, and nil for each empty line.
func (r *Source) readListings(c call, url string, most int, heard func(*Listing)) error {
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
	in := &boundedReader{source: resp.Body, atLineStart: true, onEmptyLine: func() { heard(nil) }}
	values := json.NewDecoder(in)
	for n := 1; ; n++ {
		l, err := decodeListing(values, func() { in.markConsumed(values.InputOffset()) })
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("list answer: %w", err)
		}
		heard(&l)
		if n == most {
			return nil
		}
		in.startNextValue(values.Buffered())
	}
}

// boundedReader is what a call reads its values from. It hears of the empty lines between two values, and bounds each value and
// its parts.
type boundedReader struct {
	source         io.Reader
	onEmptyLine    func()
	deliveredBytes int64 // bytes that the reader of the values has been given,
	valueBytes     int64 // those of the value that comes,
	partBytes      int64 // and of them those that are not done with
	valueStarted   bool  // of a value something has come
	atLineStart    bool  // so has the end of a line, and nothing on the next
}

// Read keeps the blanks before a value to itself: its reader would keep them all.
func (s *boundedReader) Read(p []byte) (int, error) {
	for {
		room := min(maxEntryBytes-s.partBytes, maxListBytes-s.valueBytes)
		if room <= 0 {
			return 0, fmt.Errorf("a value is longer than %d bytes, or a part of it than %d", maxListBytes, maxEntryBytes)
		}
		n, err := s.source.Read(p[:min(int64(len(p)), room)])
		s.scan(p[:n])
		if s.valueStarted || err != nil {
			s.deliveredBytes += int64(n)
			return n, err
		}
	}
}

func (s *boundedReader) scan(raw []byte) {
	s.valueBytes += int64(len(raw))
	s.partBytes += int64(len(raw))
	for _, c := range raw {
		switch {
		case s.valueStarted:
			return
		case c == '\n' && s.atLineStart:
			s.onEmptyLine()
			s.valueBytes, s.partBytes = 0, 0
		case c == '\n':
			s.atLineStart = true
		case c != ' ' && c != '\t' && c != '\r':
			s.valueStarted = true
		}
	}
}

// markConsumed tells that what was handed on is done with up to an offset.
func (s *boundedReader) markConsumed(offset int64) { s.partBytes = s.deliveredBytes - offset }

// startNextValue begins a value; of what follows the last one something may have been read already. It ends in its own line.
func (s *boundedReader) startNextValue(read io.Reader) {
	s.valueBytes, s.partBytes, s.valueStarted, s.atLineStart = 0, 0, false, false
	raw, _ := io.ReadAll(read) // of the memory
	s.scan(raw)
}
