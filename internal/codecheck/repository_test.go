package codecheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// repositoryRoot is the root of the repository, seen from this package's folder.
const repositoryRoot = "../.."

// eachSource calls check with every Go source of the repository.
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
		t.Fatalf("only %d sources were found", sources)
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

// The changelog is left out: it names what there was.
func TestPagesNameWhatExists(t *testing.T) {
	findings, err := CheckPages(os.DirFS(repositoryRoot), "README.md", "docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings {
		t.Error(f)
	}
}
