package filesource

import (
	"io"
	"os"
	"time"
)

// ReadLimited returns the content of a file. If the file is longer than limit bytes, it returns the first
// limit+1 bytes of it.
func ReadLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, limit+1))
}

// FileTracker detects by a file's identity, size and modification time whether it has changed since it was
// read. Reading a long list takes more time than anything else that an idle process does. A FileTracker is
// not safe for concurrent use.
type FileTracker struct {
	path     string
	minAge   time.Duration
	lastRead os.FileInfo // nil: the file has to be read
}

// NewFileTracker returns a tracker of the file at a path. A file that was modified less than minAge before it
// was read counts as changed, because its modification time may not tell it from one that is written next.
func NewFileTracker(path string, minAge time.Duration) *FileTracker {
	return &FileTracker{path: path, minAge: minAge}
}

// Unchanged reports whether the file is known to be the one that was read last.
func (t *FileTracker) Unchanged() bool {
	if t.lastRead == nil {
		return false
	}
	current, err := os.Stat(t.path)
	return err == nil && os.SameFile(current, t.lastRead) && current.Size() == t.lastRead.Size() &&
		current.ModTime().Equal(t.lastRead.ModTime())
}

// BeginRead records the file as read. It must be called before the file is read, so that writes during the
// read are detected.
func (t *FileTracker) BeginRead() {
	t.lastRead = nil
	if info, err := os.Stat(t.path); err == nil && time.Since(info.ModTime()) > t.minAge {
		t.lastRead = info
	}
}

// Invalidate has the file count as changed until it is read again.
func (t *FileTracker) Invalidate() { t.lastRead = nil }
