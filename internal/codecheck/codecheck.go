// Package codecheck contains the repository's own checks of its source and its Markdown pages. They find Go lines
// that are too wide, exported names without a comment, and pages that name files, folders, tests or identifiers that
// do not exist. The package's tests run the checks over the whole repository.
package codecheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strings"
	"unicode/utf8"
)

// MaxLineWidth is the maximum width of a line of Go source in characters. A tab counts as one character.
const MaxLineWidth = 120

// Finding is one violation that a check has found.
type Finding struct {
	File    string
	Line    int // counted from 1
	Message string
}

// String returns the finding in the form file:line: message.
func (f Finding) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message) }

// WideLines returns the lines of a source that are longer than MaxLineWidth.
func WideLines(file, source string) []Finding {
	var findings []Finding
	for i, line := range strings.Split(source, "\n") {
		if width := utf8.RuneCountInString(line); width > MaxLineWidth {
			findings = append(findings, Finding{file, i + 1, fmt.Sprintf("%d characters wide, maximum %d", width, MaxLineWidth)})
		}
	}
	return findings
}

// Undocumented returns the exported names that a Go source declares without a comment: types, functions, methods,
// variables and constants. A comment on a declaration group counts for all its names. String and Error methods need
// no comment. Fields and test files are not checked.
func Undocumented(file, source string) ([]Finding, error) {
	if strings.HasSuffix(file, "_test.go") {
		return nil, nil
	}
	positions := token.NewFileSet()
	parsed, err := parser.ParseFile(positions, file, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var findings []Finding
	report := func(name *ast.Ident, comments ...*ast.CommentGroup) {
		documented := slices.ContainsFunc(comments, func(c *ast.CommentGroup) bool { return c != nil })
		if name.IsExported() && !documented {
			line := positions.Position(name.Pos()).Line
			findings = append(findings, Finding{file, line, "exported name without a comment: " + name.Name})
		}
	}
	for _, declaration := range parsed.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if !isStringMethod(d) {
				report(d.Name, d.Doc)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				switch s := spec.(type) {
				case *ast.TypeSpec:
					report(s.Name, d.Doc, s.Doc, s.Comment)
				case *ast.ValueSpec:
					for _, name := range s.Names {
						report(name, d.Doc, s.Doc, s.Comment)
					}
				}
			}
		}
	}
	return findings, nil
}

// isStringMethod reports whether a function is a String or Error method without parameters. What these return is
// known without a comment.
func isStringMethod(f *ast.FuncDecl) bool {
	return f.Recv != nil && (f.Name.Name == "String" || f.Name.Name == "Error") && len(f.Type.Params.List) == 0
}
