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
)

// listPath is the path of the list at the discovery service.
const listPath = "/registry/instances"

// errWatchEnded means that the discovery service has ended a watch without an error.
var errWatchEnded = errors.New("the discovery service ended the watch")

// call is a request of the core and, once it is started, the call to the discovery service that serves it.
type call struct {
	ctx      context.Context
	watch    bool
	watchID  uint64               // the core's ID of the watch; 0 if watch is not set
	onDialed func(reachable bool) // set if the service is only to be dialed; receives the result

	// The fields below are set when the call starts.

	cancel         context.CancelFunc // cancels ctx
	number         int                // later calls have higher numbers
	url            string
	addressEpoch   int   // Source.addressEpoch when the call was started
	fromGeneration int64 // Source.generation when the call was started
	snapshotFirst  bool  // for a watch: fetch a snapshot before it
}

// callEvent is a listing that a call has delivered, a heartbeat of a watch, or the failure of a call.
type callEvent struct {
	call    call
	listing *Listing // nil for a heartbeat and for a failure
	err     error    // set for a failure
}

func listURL(address string) string { return "http://" + address + listPath }

func watchURL(listURL string, fromGeneration int64) string {
	return listURL + "?watch=1&from=" + strconv.FormatInt(fromGeneration, 10)
}

// run makes a call and sends its events to Run.
func (s *Source) run(ctx context.Context, c call) {
	defer c.cancel()
	if err := s.fetchAndWatch(ctx, c); err != nil {
		s.emit(ctx, callEvent{call: c, err: err})
	}
}

// fetchAndWatch executes a call: it fetches a snapshot, watches for changes, or first fetches a snapshot and then
// watches for changes from there on. A watch always ends with an error.
func (s *Source) fetchAndWatch(ctx context.Context, c call) error {
	fromGeneration := c.fromGeneration
	onListing := func(listing *Listing) {
		if listing != nil {
			fromGeneration = listing.Generation
		}
		s.emit(ctx, callEvent{call: c, listing: listing})
	}
	if !c.watch || c.snapshotFirst {
		if err := s.readListings(c.ctx, c.url, 1, onListing); err != nil {
			return err
		}
	}
	if !c.watch {
		return nil
	}
	if err := s.readListings(c.ctx, watchURL(c.url, fromGeneration), 0, onListing); err != nil {
		return err
	}
	return errWatchEnded
}

// emit sends an event to Run, unless Run's context ctx has ended.
func (s *Source) emit(ctx context.Context, event callEvent) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// readListings makes an HTTP call and calls onListing for each listing in its response, up to limit listings; 0 means
// no limit. An empty line outside a listing is a heartbeat, for which it calls onListing with nil.
//
// An invalid listing ends the call with an error. The listings that follow must not be used, because their
// generations would include the change that could not be read.
func (s *Source) readListings(ctx context.Context, url string, limit int, onListing func(*Listing)) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("list request: %w", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return fmt.Errorf("list call: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("list call: unexpected status %d", response.StatusCode)
	}
	// The response is a stream of JSON values. A value may extend over several lines.
	reader := &boundedReader{source: response.Body, atLineStart: true, onEmptyLine: func() { onListing(nil) }}
	decoder := json.NewDecoder(reader)
	markConsumed := func() { reader.markConsumed(decoder.InputOffset()) }
	for count := 1; ; count++ {
		listing, err := decodeListing(decoder, markConsumed)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("list response: %w", err)
		}
		onListing(&listing)
		if count == limit {
			return nil
		}
		reader.startNextValue(decoder.Buffered())
	}
}

// canConnect reports whether an address accepts a TCP connection. It closes the connection immediately.
func canConnect(ctx context.Context, address string) bool {
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
