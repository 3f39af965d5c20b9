package controlplane

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	stateFileVersion = 1
	stateFileMode    = 0o600

	// asideSuffix is appended to the name of an unusable state file.
	asideSuffix = ".aside"

	// lockTimeout limits the wait for the file's lock. During a hot restart, two processes use the same file.
	lockTimeout = time.Second
)

// The bbolt bucket and key of the state file's only value. The value is a savedState in CBOR, preceded by the SHA-256
// checksum of that CBOR.
var (
	bucketName = []byte("control")
	stateKey   = []byte("state")
)

// errCorrupt means that a state file is damaged.
var errCorrupt = errors.New("the state file is corrupt")

// savedState is the value that a state file contains.
type savedState struct {
	FileVersion int           `cbor:"1,keyasint"`
	Site        string        `cbor:"2,keyasint"`
	State       replica.State `cbor:"3,keyasint"`
}

// Store keeps the latest state in a file. After a restart, a follower requests only the changes since that state, and
// the leader continues with the next version. The file is open and locked only while it is read or written.
type Store struct {
	path string
	site string
	log  *logrus.Logger
}

// NewStore returns a store that uses the file at path. It accepts only states of the given site.
func NewStore(path, site string, log *logrus.Logger) *Store {
	return &Store{path: path, site: site, log: log}
}

// Load returns the saved state. It returns the zero State if the file is missing, locked by another process, or
// unusable: unreadable, corrupt, of another site or file version, or with an invalid state. It renames an unusable
// file, and logs why it does not load a file that exists.
func (s *Store) Load() replica.State {
	state, err := s.read()
	switch {
	case err == nil || errors.Is(err, fs.ErrNotExist):
		return state
	case errors.Is(err, bbolterrors.ErrTimeout):
		s.log.WithError(err).Warn("control: the saved state is locked by another process, starting without it")
	default:
		s.renameUnusable(err)
	}
	return replica.State{}
}

// renameUnusable appends asideSuffix to the name of an unusable state file, and logs the cause. The operators can
// examine the file, and the next save creates a new one.
func (s *Store) renameUnusable(cause error) {
	aside := s.path + asideSuffix
	entry := s.log.WithError(cause).WithFields(logrus.Fields{"file": s.path, "aside": aside})
	if err := os.Rename(s.path, aside); err != nil {
		entry.WithField("rename", err.Error()).Error("control: the saved state is unusable and cannot be moved aside")
		return
	}
	entry.Warn("control: the saved state is unusable and was moved aside")
}

// recoverFaults calls access and returns its panics and memory faults as errors. They occur because bbolt maps the
// file into memory and does not check all offsets in it, so that it can access invalid addresses if the file is
// corrupt.
func recoverFaults(access func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errCorrupt, r)
		}
	}()
	return access()
}

// read returns the saved state. The error wraps fs.ErrNotExist if the file is missing, and bbolterrors.ErrTimeout if
// another process has locked it.
func (s *Store) read() (replica.State, error) {
	if _, err := os.Stat(s.path); err != nil {
		return replica.State{}, err
	}
	var state replica.State
	err := recoverFaults(func() error {
		db, err := bbolt.Open(s.path, stateFileMode, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
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

// decode reads and validates the state in a transaction.
func (s *Store) decode(tx *bbolt.Tx) (replica.State, error) {
	bucket := tx.Bucket(bucketName)
	if bucket == nil {
		return replica.State{}, fmt.Errorf("%w: the state is missing", errCorrupt)
	}
	raw := bucket.Get(stateKey)
	if len(raw) < sha256.Size {
		return replica.State{}, fmt.Errorf("%w: the checksum is missing", errCorrupt)
	}
	body := raw[sha256.Size:]
	if !bytes.Equal(checksum(body), raw[:sha256.Size]) {
		return replica.State{}, fmt.Errorf("%w: checksum mismatch", errCorrupt)
	}
	var saved savedState
	if err := cbor.Unmarshal(body, &saved); err != nil {
		return replica.State{}, err
	}
	if saved.FileVersion != stateFileVersion {
		return replica.State{}, fmt.Errorf("unsupported state file version %d: expected %d",
			saved.FileVersion, stateFileVersion)
	}
	if saved.Site != s.site {
		return replica.State{}, fmt.Errorf("the state file belongs to site %q: expected %q", saved.Site, s.site)
	}
	return replica.RestoreState(saved.State)
}

func checksum(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:]
}

// Save writes a state unless the file contains the same version or a newer one. It overwrites a value that decode
// rejects. If the write fails for any reason other than the lock, Save renames the file and creates a new one.
func (s *Store) Save(state replica.State) error {
	body, err := cbor.Marshal(savedState{FileVersion: stateFileVersion, Site: s.site, State: state})
	if err != nil {
		return err
	}
	value := slices.Concat(checksum(body), body)
	write := func() error { return s.write(state.Version, value) }
	err = recoverFaults(write)
	if err == nil || errors.Is(err, bbolterrors.ErrTimeout) {
		return err
	}
	if _, statErr := os.Stat(s.path); statErr != nil { // the file does not exist and could not be created
		return err
	}
	s.renameUnusable(err)
	return recoverFaults(write)
}

// write stores value, the encoded state of the given version, unless the file contains the same version or a newer
// one.
func (s *Store) write(version replica.Version, value []byte) error {
	db, err := bbolt.Open(s.path, stateFileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return err
	}
	defer db.Close()
	return db.Update(func(tx *bbolt.Tx) error {
		if existing, err := s.decode(tx); err == nil && existing.Version.Compare(version) >= 0 {
			return nil
		}
		bucket, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		return bucket.Put(stateKey, value)
	})
}
