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

// errWatchEnded says that the discovery service has ended a watch without an error.
var errWatchEnded = errors.New("watch ended")

// call is a request of the core and, once it has been started, the call to the discovery service that serves it.
type call struct {
	ctx      context.Context
	watch    bool
	watchID  uint64               // the core's; 0 if watch is not set
	onDialed func(reachable bool) // set if the service is only to be dialled

	// The fields below are set when the call starts.

	cancel         context.CancelFunc // ends ctx
	number         int                // later calls have higher numbers
	url            string
	addressEpoch   int   // that of Source when the call was started
	fromGeneration int64 // that of Source when the call was started
	snapshotFirst  bool  // for a watch: fetch a snapshot before it
}

// callEvent is a listing that a call has delivered, a heartbeat of a watch, or the end of a call.
type callEvent struct {
	call    call
	listing *Listing // nil: a heartbeat, or the end
	err     error    // set at the end
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

// fetchAndWatch fetches a snapshot, watches for changes, or does one after the other. A watch always ends
// with an error.
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

// emit sends an event to Run unless ctx, which is Run's, has ended.
func (s *Source) emit(ctx context.Context, event callEvent) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// readListings makes an HTTP call and passes on the listings in its answer: the first limit ones, or all if
// limit is 0. It passes on nil for each empty line between two listings, which is a heartbeat.
//
// An invalid listing ends the call with an error. A later listing must not be used then, because its
// generation would include the change that could not be read.
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
		return fmt.Errorf("list call: status %d", response.StatusCode)
	}
	// The answer is a stream of JSON values, which may be broken into lines anywhere.
	reader := &boundedReader{source: response.Body, atLineStart: true, onEmptyLine: func() { onListing(nil) }}
	decoder := json.NewDecoder(reader)
	markConsumed := func() { reader.markConsumed(decoder.InputOffset()) }
	for count := 1; ; count++ {
		listing, err := decodeListing(decoder, markConsumed)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("list answer: %w", err)
		}
		onListing(&listing)
		if count == limit {
			return nil
		}
		reader.startNextValue(decoder.Buffered())
	}
}

// canConnect reports whether an address accepts a TCP connection. It closes the connection at once.
func canConnect(ctx context.Context, address string) bool {
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
