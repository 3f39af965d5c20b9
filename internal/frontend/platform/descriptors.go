package platform

import (
	"context"
	"time"
)

// descriptorRetryInterval is how long the accept loop waits for a released descriptor before it asks the engine to
// shed another idle connection.
const descriptorRetryInterval = 5 * time.Millisecond

// DescriptorBudget limits the file descriptors that a Frontend may use.
type DescriptorBudget struct {
	// Total is the maximum number of client connections and connections to room servers together. A Prober's
	// connections are not included.
	Total int
	// DialReserve is the number of descriptors out of Total that only connections to room servers may use.
	DialReserve int
}

// acquireForAccept acquires a descriptor for a client connection. While none is available, the engine sheds the
// connection that has been idle longest, and clients wait in the listener's backlog. It returns false if ctx ends
// first.
func (f *Frontend) acquireForAccept(ctx context.Context) bool {
	for len(f.descriptors) >= int(f.acceptLimit.Load()) {
		f.engine.ShedIdle()
		select {
		case <-ctx.Done():
			return false
		case <-f.descriptorReleased:
		case <-time.After(descriptorRetryInterval):
		}
	}
	f.descriptors <- struct{}{} // Blocks only if dials or runReserve have acquired the free ones since the check.
	return true
}

// acquireForDial acquires a descriptor for a connection to a room server. If none is free, it requests the engine to
// shed an idle client connection, and waits until a descriptor is released. The wait is short, because client
// connections leave DialReserve free. It returns the error of ctx if ctx ends first.
func (f *Frontend) acquireForDial(ctx context.Context) error {
	select {
	case f.descriptors <- struct{}{}:
		return nil
	default:
	}
	f.engine.ShedIdle()
	select {
	case f.descriptors <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// releaseDescriptor releases a descriptor and wakes the accept loop.
func (f *Frontend) releaseDescriptor() {
	<-f.descriptors
	select {
	case f.descriptorReleased <- struct{}{}:
	default:
	}
}

// SetDescriptorReserve reserves n descriptors of the budget for another process. Descriptors in use are reserved when
// they are released. DialReserve is reduced in proportion to the remaining descriptors. A later call replaces n.
// SetDescriptorReserve waits for Serve to start, but does not block after Serve has returned.
func (f *Frontend) SetDescriptorReserve(n int) {
	total := f.budget.Total
	f.acceptLimit.Store(int64(total - f.budget.DialReserve*(total-n)/total))
	select {
	case f.reserveTarget <- n:
	case <-f.reserveEnded:
	}
}

// runReserve acquires and holds the descriptors that are reserved for another process. It is an actor that runs until
// ctx ends.
func (f *Frontend) runReserve(ctx context.Context) {
	defer close(f.reserveEnded)
	for reserved, target := 0, 0; ; {
		for ; reserved > target; reserved-- {
			f.releaseDescriptor()
		}
		var acquire chan<- struct{} // nil, which blocks, if none is to be acquired
		if reserved < target {
			acquire = f.descriptors
		}
		select {
		case <-ctx.Done():
			return
		case target = <-f.reserveTarget:
		case acquire <- struct{}{}:
			reserved++
		}
	}
}
