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

// FileTracker detects by a file's identity, size and modification time whether the file has changed since it was
// read. It avoids reading an unchanged file again: reading a long list takes more time than all other work of an idle
// process. A FileTracker is not safe for concurrent use.
type FileTracker struct {
	path     string
	minAge   time.Duration
	lastRead os.FileInfo // of the file when it was last read; nil if the file has to be read
}

// NewFileTracker returns a tracker of the file at a path. A file that was modified less than minAge before it was
// read counts as changed, because a later write may leave it with the same modification time.
func NewFileTracker(path string, minAge time.Duration) *FileTracker {
	return &FileTracker{path: path, minAge: minAge}
}

// Unchanged reports whether the file is known to be unchanged since the last read.
func (t *FileTracker) Unchanged() bool {
	if t.lastRead == nil {
		return false
	}
	current, err := os.Stat(t.path)
	return err == nil && os.SameFile(current, t.lastRead) && current.Size() == t.lastRead.Size() &&
		current.ModTime().Equal(t.lastRead.ModTime())
}

// BeginRead records the file's current state for comparison by Unchanged. It must be called before the file is read,
// so that writes during the read are detected as changes.
func (t *FileTracker) BeginRead() {
	t.lastRead = nil
	if info, err := os.Stat(t.path); err == nil && time.Since(info.ModTime()) > t.minAge {
		t.lastRead = info
	}
}

// Invalidate makes the file count as changed until BeginRead is called again.
func (t *FileTracker) Invalidate() { t.lastRead = nil }
