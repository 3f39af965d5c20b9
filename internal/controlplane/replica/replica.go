package replica

import (
	"errors"
	"fmt"
	"slices"

	"cottonplank/internal/discovery/endpoint"
)

const (
	maxBatch   = 32 << 10 // bytes of changes, or of a piece, that are sent at once
	keepBytes  = 4 << 20  // of changes, at a control machine
	keepNumber = 8192
)

// MaxMessageBytes bounds a message in bytes: a batch of at most maxBatch, to which one change or room server comes at most.
const MaxMessageBytes = 64 << 10

// The reasons for which a follower does not take what it is sent. It asks another machine then.
var (
	ErrGap             = errors.New("a change or a piece is missing before this one")
	ErrInvalidDocument = errors.New("faulty document")
)

// SnapshotChunk is a part of a whole state.
type SnapshotChunk struct {
	Version   Version          `cbor:"1,keyasint"`
	Index     int              `cbor:"2,keyasint"`
	Last      bool             `cbor:"3,keyasint,omitempty"`
	Discovery string           `cbor:"4,keyasint,omitempty"`
	Rooms     []endpoint.Entry `cbor:"5,keyasint,omitempty"`
}

// Replica is one machine's or balancer's copy of the document. A control machine also keeps the changes that led to it.
type Replica struct {
	state State
	keeps bool
	kept  []Change          // each leads to the next; the last leads to state
	bytes int               // of kept
	ahead Version           // the newest that a follower had, where that is above state's
	names map[string]string // of the room servers in force, by their addresses; nil: not made yet
	whole []SnapshotChunk   // those that came of a state that is not complete yet
	count int               // room servers in whole
}

// New returns a copy of a state. keeps: it serves others, and keeps changes for them.
func New(state State, keeps bool) *Replica { return &Replica{state: state, keeps: keeps} }

// State is the state in force.
func (r *Replica) State() State { return r.state }

// Propose makes a document the next version of a term, and tells what leads there; nil and no error: it is the one in force.
// Only the one machine that writes calls it. It saves the state before it takes the change over: a version that others have
// heard of is never given to another document.
func (r *Replica) Propose(d Document, term uint64) (*Change, State, error) {
	if r.ahead.Compare(r.state.Version) > 0 && term <= r.ahead.Term {
		return nil, State{}, fmt.Errorf("term: %d is not above that of version %s, which a follower has and this machine has not", term, r.ahead)
	}
	if term < r.state.Version.Term {
		return nil, State{}, fmt.Errorf("term: %d is below that of version %s, which is in force", term, r.state.Version)
	}
	d.Rooms = slices.Clone(d.Rooms)
	d, err := d.check()
	if err == nil {
		err = d.follows(r.state.Document)
	}
	if err != nil {
		return nil, State{}, err
	}
	next := State{Version{Term: term, Number: 1}, d}
	if term == r.state.Version.Term {
		next.Version.Number = r.state.Version.Number + 1
	}
	c, differs := change(r.state, next)
	if !differs && term == r.state.Version.Term {
		return nil, r.state, nil
	}
	return &c, next, nil
}

// ObserveFollower tells the writer which version a follower has. A newer one than its own means that its state was lost: it writes
// nothing more in that term, as another document could get the same version.
func (r *Replica) ObserveFollower(v Version) (ahead bool) {
	if v.Compare(r.state.Version) <= 0 {
		return false
	}
	if v.Compare(r.ahead) > 0 {
		r.ahead = v
	}
	return true
}

// enter puts a state into force. led are the changes that led to it; none: what led to it is not known.
func (r *Replica) enter(next State, led []Change) {
	r.state, r.whole, r.count = next, nil, 0
	if len(led) == 0 {
		r.names = nil
	}
	if !r.keeps {
		return
	}
	if len(led) == 0 {
		r.kept, r.bytes = nil, 0
	}
	for _, c := range led {
		n := c.bytes()
		if n > maxBatch { // it goes out as a whole state, in pieces
			r.kept, r.bytes = nil, 0
			continue
		}
		r.kept, r.bytes = append(r.kept, c), r.bytes+n
	}
	drop := 0
	for r.bytes > keepBytes || len(r.kept)-drop > keepNumber {
		r.bytes -= r.kept[drop].bytes()
		drop++
	}
	if drop > 0 {
		r.kept = slices.Clone(r.kept[drop:])
	}
}

// ChangesSince tells what a follower that has a version is sent next: changes that fit one message, or, where those are not kept, a
// whole state. Neither: it has what there is, or something newer.
func (r *Replica) ChangesSince(v Version) (changes []Change, whole bool) {
	if v.Compare(r.state.Version) >= 0 {
		return nil, false
	}
	at, found := slices.BinarySearchFunc(r.kept, v, func(c Change, v Version) int { return c.From.Compare(v) })
	if !found {
		return nil, true
	}
	bytes := 0
	for i, c := range r.kept[at:] {
		if bytes += c.bytes(); i > 0 && bytes > maxBatch {
			return r.kept[at : at+i : at+i], false
		}
	}
	return r.kept[at:len(r.kept):len(r.kept)], false
}

// Chunks are a state in parts, each of which fits a message.
func (s State) Chunks() (all []SnapshotChunk) {
	rest := s.Document.Rooms
	for i := 0; ; i++ {
		p := SnapshotChunk{Version: s.Version, Index: i, Discovery: s.Document.Discovery}
		bytes, n := 0, 0
		for n < len(rest) && bytes < maxBatch {
			bytes += roomBytes(rest[n])
			n++
		}
		p.Rooms, rest = rest[:n:n], rest[n:]
		p.Last = len(rest) == 0
		all = append(all, p)
		if p.Last {
			return all
		}
	}
}

// ApplyChanges takes changes over, all or none; it tells whether the state in force is another now. What leads to a version
// that it has, or had, is passed over.
func (r *Replica) ApplyChanges(changes []Change) (bool, error) {
	next := r.state
	var led []Change
	for _, c := range changes {
		if c.To.Compare(next.Version) <= 0 {
			continue
		}
		if c.From != next.Version {
			return false, fmt.Errorf("%w: from %s to %s, at %s", ErrGap, c.From, c.To, next.Version)
		}
		next = State{c.To, c.apply(next.Document)}
		led = append(led, c)
	}
	if len(led) == 0 {
		return false, nil
	}
	if err := r.checkChanged(next.Document, led); err != nil {
		r.names = nil // it may be half changed
		return false, fmt.Errorf("%w: version %s: %w", ErrInvalidDocument, next.Version, err)
	}
	r.enter(next, led)
	return true, nil
}

// checkChanged tells what changes have made faulty in a document. It looks at what they touch alone: the rest was sound before,
// and a list may be long.
func (r *Replica) checkChanged(d Document, led []Change) error {
	before := r.state.Document
	if r.names == nil {
		r.names = make(map[string]string, len(before.Rooms))
		for _, room := range before.Rooms {
			r.names[room.Address] = room.Name
		}
	}
	if _, err := (Document{Discovery: d.Discovery, Rooms: d.Rooms[:min(len(d.Rooms), 1)]}).check(); err != nil {
		return err
	}
	if err := d.follows(before); err != nil {
		return err
	}
	if len(d.Rooms) > endpoint.MaxEntries {
		return fmt.Errorf("rooms: %d of them, 1 to %d expected", len(d.Rooms), endpoint.MaxEntries)
	}
	touched := map[string]bool{}
	for _, c := range led {
		put := map[string]bool{}
		for _, room := range c.Upserted {
			if put[room.Name] {
				return fmt.Errorf("rooms: %q is there twice", room.Name)
			}
			put[room.Name], touched[room.Name] = true, true
		}
		for _, name := range c.Removed {
			touched[name] = true
		}
	}
	for name := range touched {
		if old, there := before.at(name); there {
			delete(r.names, old.Address)
		}
	}
	for name := range touched {
		room, there := d.at(name)
		if !there {
			continue
		}
		if err := errors.Join(fits(room), room.Validate()); err != nil {
			return fmt.Errorf("rooms: %q: %w", name, err)
		}
		if other, taken := r.names[room.Address]; taken {
			return fmt.Errorf("rooms: %q: address: %q is that of %q", name, room.Address, other)
		}
		r.names[room.Address] = name
	}
	return nil
}

// ApplyChunk takes a piece; it tells whether the state in force is another now. A state that is not newer than the one in
// force is passed over.
func (r *Replica) ApplyChunk(p SnapshotChunk) (bool, error) {
	if p.Version.Compare(r.state.Version) <= 0 {
		return false, nil
	}
	if p.Index == 0 {
		r.DiscardChunks()
	}
	if p.Index != len(r.whole) || p.Index > 0 && (p.Version != r.whole[0].Version || p.Discovery != r.whole[0].Discovery) {
		r.DiscardChunks()
		return false, fmt.Errorf("%w: piece %d of %s", ErrGap, p.Index, p.Version)
	}
	if r.count += len(p.Rooms); r.count > endpoint.MaxEntries || p.Index > endpoint.MaxEntries {
		r.DiscardChunks()
		return false, fmt.Errorf("%w: over %d room servers", ErrInvalidDocument, endpoint.MaxEntries)
	}
	r.whole = append(r.whole, p)
	if !p.Last {
		return false, nil
	}
	d := Document{Discovery: p.Discovery, Rooms: make([]endpoint.Entry, 0, r.count)}
	for _, part := range r.whole {
		d.Rooms = append(d.Rooms, part.Rooms...)
	}
	r.DiscardChunks()
	return true, r.take(State{p.Version, d}, nil)
}

// DiscardChunks drops the pieces of a state that did not become complete; they are of one connection.
func (r *Replica) DiscardChunks() { r.whole, r.count = nil, 0 }

func (r *Replica) take(next State, led []Change) error {
	d, err := next.Document.check()
	if err == nil {
		err = d.follows(r.state.Document)
	}
	if err != nil {
		return fmt.Errorf("%w: version %s: %w", ErrInvalidDocument, next.Version, err)
	}
	r.enter(State{next.Version, d}, led)
	return nil
}

// RestoreState checks a state that was saved.
func RestoreState(s State) (State, error) {
	if s.Version == (Version{}) {
		return State{}, errors.New("no version")
	}
	d, err := s.Document.check()
	return State{s.Version, d}, err
}
