package controlplane

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	stateFileVersion = 1
	lockTimeout      = time.Second // another process of the same balancer may be writing
	saveInterval     = time.Second // at a follower, at most
)

var (
	bucketName = []byte("control")
	stateKey   = []byte("state")
	errCorrupt = errors.New("is torn")
)

// savedState is what is stored: a sum, then this as CBOR.
type savedState struct {
	FileVersion int           `cbor:"1,keyasint"`
	Site        string        `cbor:"2,keyasint"`
	State       replica.State `cbor:"3,keyasint"`
}

// Store keeps the state in a file, so that a restart asks for changes alone. The file is open only while it is read or
// written: in an upgrade two processes share it.
type Store struct {
	path, site string
	log        *logrus.Logger
}

// NewStore returns the store of a file.
func NewStore(path, site string, log *logrus.Logger) *Store { return &Store{path, site, log} }

// Load returns the saved state; there is none where the file is not there. A file that is torn, of another site or of another
// form is set aside, and the log says so.
func (s *Store) Load() replica.State {
	state, err := s.read()
	switch {
	case err == nil || errors.Is(err, fs.ErrNotExist):
		return state
	case errors.Is(err, bbolterrors.ErrTimeout):
		s.log.WithError(err).Warn("control: the saved state is in another process's hands, starting without it")
	default:
		s.moveAside(err)
	}
	return replica.State{}
}

func (s *Store) moveAside(cause error) {
	aside := s.path + ".aside"
	entry := s.log.WithError(cause).WithFields(logrus.Fields{"file": s.path, "aside": aside})
	if err := os.Rename(s.path, aside); err != nil {
		entry.WithField("rename", err.Error()).Error("control: the saved state is of no use and cannot be set aside")
		return
	}
	entry.Warn("control: the saved state is of no use and was set aside, the whole state is asked for")
}

// recoverFaults turns what a torn file does to the library into an error: it maps the file, and follows what is in it.
func recoverFaults(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errCorrupt, r)
		}
	}()
	return do()
}

func (s *Store) read() (state replica.State, err error) {
	if _, err := os.Stat(s.path); err != nil {
		return state, err
	}
	err = recoverFaults(func() error {
		db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
		if err != nil {
			return err
		}
		defer db.Close()
		return db.View(func(tx *bbolt.Tx) error {
			state, err = s.decode(tx)
			return err
		})
	})
	if err != nil {
		return replica.State{}, err
	}
	return state, nil
}

func (s *Store) decode(tx *bbolt.Tx) (replica.State, error) {
	b := tx.Bucket(bucketName)
	if b == nil {
		return replica.State{}, fmt.Errorf("%w: no state is in it", errCorrupt)
	}
	raw := b.Get(stateKey)
	if len(raw) < sha256.Size || sha256.Sum256(raw[sha256.Size:]) != [sha256.Size]byte(raw[:sha256.Size]) {
		return replica.State{}, fmt.Errorf("%w: its sum is another", errCorrupt)
	}
	var in savedState
	if err := cbor.Unmarshal(raw[sha256.Size:], &in); err != nil {
		return replica.State{}, err
	}
	if in.FileVersion != stateFileVersion {
		return replica.State{}, fmt.Errorf("is of form %d, %d is known", in.FileVersion, stateFileVersion)
	}
	if in.Site != s.site {
		return replica.State{}, fmt.Errorf("is of site %q, this is %q", in.Site, s.site)
	}
	return replica.RestoreState(in.State)
}

func checksum(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// Save writes a state, unless a newer one is there.
func (s *Store) Save(state replica.State) error {
	body, err := cbor.Marshal(savedState{stateFileVersion, s.site, state})
	if err != nil {
		return err
	}
	sum := checksum(body)
	write := func() error {
		db, err := bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: lockTimeout})
		if err != nil {
			return err
		}
		defer db.Close()
		return db.Update(func(tx *bbolt.Tx) error {
			if there, err := s.decode(tx); err == nil && there.Version.Compare(state.Version) >= 0 {
				return nil
			}
			b, err := tx.CreateBucketIfNotExists(bucketName)
			if err != nil {
				return err
			}
			return b.Put(stateKey, append(sum, body...))
		})
	}
	if err = recoverFaults(write); err == nil || errors.Is(err, bbolterrors.ErrTimeout) {
		return err
	}
	if _, gone := os.Stat(s.path); gone != nil { // no file, and none can be made
		return err
	}
	s.moveAside(err)
	return recoverFaults(write)
}

// Persister saves the latest state at intervals, aside from who follows: a disk may be slow.
type Persister struct {
	store *Store
	next  chan replica.State
}

// NewPersister returns a saver to a store.
func NewPersister(store *Store) *Persister { return &Persister{store, make(chan replica.State, 1)} }

// Enqueue has a state saved. It does not wait; only one goroutine calls it.
func (s *Persister) Enqueue(state replica.State) {
	select {
	case <-s.next: // the newer one is enough
	default:
	}
	s.next <- state
}

// Run saves until ctx ends, and then what is left.
func (s *Persister) Run(ctx context.Context) {
	for {
		select {
		case state := <-s.next:
			s.save(state)
		case <-ctx.Done():
			select {
			case state := <-s.next:
				s.save(state)
			default:
			}
			return
		}
		select {
		case <-time.After(saveInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Persister) save(state replica.State) {
	if err := s.store.Save(state); err != nil {
		s.store.log.WithError(err).Error("control: the state could not be saved, a restart asks for the whole")
	}
}
