package codecheck

import (
	"errors"
	"strings"
	"testing"
	"testing/fstest"
)

// The width is counted in characters, not in bytes, and a line of MaxLineWidth characters is not reported.
func TestWideLinesFindsAPlantedFault(t *testing.T) {
	source := strings.Repeat("x", MaxLineWidth) + "\n" + strings.Repeat("é", MaxLineWidth+1) + "\n"
	findings := WideLines("a.go", source)
	if len(findings) != 1 || findings[0].Line != 2 {
		t.Errorf("found %v, want only line 2", findings)
	}
}

// Types, methods and constants without a comment are reported, but not String methods, unexported names and test files.
func TestUndocumentedFindsPlantedFaults(t *testing.T) {
	const source = `package a

type Bare struct{}

// Good has a comment.
type Good struct{}

func (Good) Method() {}

func (Good) String() string { return "" }

const (
	One = 1 // has a comment
	Two = 2
)

func hidden() {}
`
	findings, err := Undocumented("a.go", source)
	if err != nil {
		t.Fatal(err)
	}
	var lines []int
	for _, f := range findings {
		lines = append(lines, f.Line)
	}
	if len(lines) != 3 || lines[0] != 3 || lines[1] != 8 || lines[2] != 14 {
		t.Errorf("found %v, want lines 3, 8 and 14", findings)
	}
	if findings, err := Undocumented("a_test.go", source); err != nil || len(findings) > 0 {
		t.Errorf("in a test file: found %v, error %v, want nothing", findings, err)
	}
}

// Each kind of reference is reported if its target does not exist, and not reported if it does or if it names something
// outside the repository.
func TestDeadReferencesFindsPlantedFaults(t *testing.T) {
	tree := fstest.MapFS{
		"docs/page.md":            {},
		".gitignore":              {Data: []byte("/deploy/keys.json\n")},
		"mibs/A-MIB.txt":          {Data: []byte("cpState OBJECT-TYPE\n")},
		"internal/core/core.go":   {Data: []byte("package core\n\ntype Engine struct{}\n\nfunc (Engine) SetLoad() {}\n")},
		"internal/core/a_test.go": {Data: []byte("package core\n\nfunc TestOne() {}\n")},
	}
	repository, err := ReadRepository(tree)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		text string
		dead string // end of the expected message; empty if nothing is to be found
	}{
		{"[a page](page.md), [a site](https://example.org/x)", ""},
		{"[gone](other.md)", "link target: other.md"},
		{"core.go and internal/core/core.go", ""},
		{"in internal/core/gone.go", "file: internal/core/gone.go"},
		{"see internal/core", ""},
		{"see internal/line for more", "path: internal/line"},
		{"TestOne holds it", ""},
		{"TestTwo holds it", "test: TestTwo"},
		{"`SetLoad`, `core.Engine.SetLoad()`, `OPEN`, `cold_share`, `a b`", ""},
		{"`SetWeight`", "identifier: SetWeight"},
		{"`core.Engine.SetWeight`", "identifier: core.Engine.SetWeight"},
		{"`net.Conn`, `cpState`, deploy/keys.json, golang.org/x/tools/cmd/other", ""},
		{"the engine is core.Module", "identifier: core.Module"},
		{"`cpOther`", "identifier: cpOther"},
	} {
		t.Run(c.text, func(t *testing.T) {
			findings := repository.DeadReferences("docs/page.md", c.text)
			switch {
			case c.dead == "" && len(findings) > 0:
				t.Errorf("found %v, want nothing", findings)
			case c.dead != "" && (len(findings) != 1 || !strings.HasSuffix(findings[0].Message, c.dead)):
				t.Errorf("found %v, want only %q", findings, c.dead)
			}
		})
	}
}

// A pattern that matches no page is an error. Otherwise the check would pass without having read a page.
func TestCheckPagesWantsPages(t *testing.T) {
	if _, err := CheckPages(fstest.MapFS{"a.txt": {}}, "docs/*.md"); !errors.Is(err, ErrNoPages) {
		t.Errorf("error %v, want ErrNoPages", err)
	}
}
