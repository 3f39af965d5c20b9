package codecheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// repositoryRoot is the root of the repository, relative to this package's folder.
const repositoryRoot = "../.."

// eachSource calls check with the name and the text of each Go source of the repository. It fails if there are fewer
// than 100, since the walk has then missed some.
func eachSource(t *testing.T, check func(name, source string)) {
	t.Helper()
	sources := 0
	err := filepath.WalkDir(repositoryRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") {
			return nil
		}
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		sources++
		check(filepath.ToSlash(strings.TrimPrefix(name, repositoryRoot+string(filepath.Separator))), string(raw))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if sources < 100 {
		t.Fatalf("found only %d Go sources, want at least 100", sources)
	}
}

func TestLinesAreNotTooWide(t *testing.T) {
	eachSource(t, func(name, source string) {
		for _, f := range WideLines(name, source) {
			t.Error(f)
		}
	})
}

func TestExportedNamesHaveComments(t *testing.T) {
	eachSource(t, func(name, source string) {
		findings, err := Undocumented(name, source)
		if err != nil {
			t.Error(err)
		}
		for _, f := range findings {
			t.Error(f)
		}
	})
}

// The README and the pages in docs are checked, and the changelog is not, since it also names what no longer exists.
// In a git worktree the test fails because of the fault that the comment on ReadRepository describes.
func TestPagesNameWhatExists(t *testing.T) {
	findings, err := CheckPages(os.DirFS(repositoryRoot), "README.md", "docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings {
		t.Error(f)
	}
}
