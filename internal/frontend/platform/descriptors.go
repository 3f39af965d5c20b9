package platform

import (
	"context"
	"time"
)

// descriptorRetryInterval is how long the accept loop waits for a released descriptor before it sheds another
// connection.
const descriptorRetryInterval = 5 * time.Millisecond

// DescriptorBudget is the number of file descriptors that a Frontend may use.
type DescriptorBudget struct {
	// Total bounds the client connections and the connections to room servers together.
	Total int
	// DialReserve is the part of Total that client connections leave to connections to room servers.
	DialReserve int
}

// acquireForAccept takes a descriptor for a client connection. While none is available, the engine sheds the connection
// that has been idle longest, and clients wait in the listener's backlog. It returns false if ctx ends first.
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
	f.descriptors <- struct{}{} // Dials cannot fill it: the accepted clients bound them.
	return true
}

// acquireForDial takes a descriptor for a connection to a room server. It waits until one is released, which is soon,
// as client connections leave DialReserve free. It returns the error of ctx if that ends first.
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

// releaseDescriptor gives a descriptor back.
func (f *Frontend) releaseDescriptor() {
	<-f.descriptors
	select {
	case f.descriptorReleased <- struct{}{}:
	default:
	}
}

// SetDescriptorReserve leaves n descriptors of the budget to another process, as they are released. It may be called
// again with another number, and returns at once after Serve has ended.
func (f *Frontend) SetDescriptorReserve(n int) {
	total := f.budget.Total
	f.acceptLimit.Store(int64(total - f.budget.DialReserve*(total-n)/total))
	select {
	case f.reserveTarget <- n:
	case <-f.reserveEnded:
	}
}

// runReserve holds the descriptors that are left to another process. It is an actor that runs until ctx ends.
func (f *Frontend) runReserve(ctx context.Context) {
	defer close(f.reserveEnded)
	for reserved, target := 0, 0; ; {
		for ; reserved > target; reserved-- {
			f.releaseDescriptor()
		}
		var acquire chan<- struct{} // nil, which blocks, while nothing is to be acquired
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
