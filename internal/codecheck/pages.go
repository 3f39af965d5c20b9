package codecheck

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path"
	"regexp"
	"slices"
	"strings"
)

// Repository holds the files and the declared identifiers of a source tree.
type Repository struct {
	files       map[string]bool            // slash-separated paths of files and folders, and lines of .gitignore
	baseNames   map[string]bool            // last elements of the files' paths
	identifiers map[string]bool            // names that any Go source or MIB declares
	packages    map[string]map[string]bool // names that each package declares, by the package's name
}

// ReadRepository reads a source tree. It records the folders .git and journal, but skips their contents.
//
// Known fault: in a git worktree .git is a file, and fs.SkipDir on a file skips the rest of the root folder. Most
// files are missing from the result then, so that pages that name them are reported.
func ReadRepository(root fs.FS) (*Repository, error) {
	r := &Repository{
		files: map[string]bool{}, baseNames: map[string]bool{},
		identifiers: map[string]bool{}, packages: map[string]map[string]bool{},
	}
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name == ".git" || name == "journal" {
			r.files[name] = true
			return fs.SkipDir
		}
		r.files[name] = true
		if entry.IsDir() {
			return nil
		}
		r.baseNames[path.Base(name)] = true
		return r.addFile(root, name)
	})
	return r, err
}

// addFile records what a file declares: the identifiers of a Go source, and the objects of a MIB. The entries of
// .gitignore are recorded as files, since pages name files that operators create and git ignores.
func (r *Repository) addFile(root fs.FS, name string) error {
	if name != ".gitignore" && path.Ext(name) != ".go" && path.Dir(name) != "mibs" {
		return nil
	}
	text, err := fs.ReadFile(root, name)
	if err != nil {
		return err
	}
	switch {
	case name == ".gitignore":
		for line := range strings.Lines(string(text)) {
			r.files[strings.Trim(strings.TrimSpace(line), "/")] = true
		}
	case path.Ext(name) == ".go":
		return r.addSource(name, text)
	default:
		for _, object := range mibObject.FindAllStringSubmatch(string(text), -1) {
			r.identifiers[object[1]] = true
		}
	}
	return nil
}

// addSource records the identifiers that a Go source declares: at package level, as fields, methods, parameters and
// results, and as local variables and constants, except the variables of range clauses. An external test package
// counts as the package that it tests.
func (r *Repository) addSource(name string, source []byte) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), name, source, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	packageName := strings.TrimSuffix(parsed.Name.Name, "_test")
	declared := r.packages[packageName]
	if declared == nil {
		declared = map[string]bool{}
		r.packages[packageName] = declared
	}
	add := func(identifiers ...*ast.Ident) {
		for _, id := range identifiers {
			r.identifiers[id.Name] = true
			declared[id.Name] = true
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			add(n.Name)
		case *ast.TypeSpec:
			add(n.Name)
		case *ast.ValueSpec:
			add(n.Names...)
		case *ast.Field:
			add(n.Names...)
		case *ast.AssignStmt:
			for _, left := range n.Lhs {
				if id, ok := left.(*ast.Ident); ok && n.Tok == token.DEFINE {
					add(id)
				}
			}
		}
		return true
	})
	return nil
}

// topFolders matches the top-level folders below which paths are checked. Other paths in pages may be outside the
// repository.
const topFolders = `(?:internal|cmd|decide|docs|deploy|experiments|mibs|tools)`

var (
	link       = regexp.MustCompile(`\]\(([^)#\s]+)`)
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	goFile     = regexp.MustCompile(`[\w./-]*\w\.go\b`)
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)
	folderPath = regexp.MustCompile(`(?:^|[^\w./-])(` + topFolders + `/[\w./-]*\w)`)
	qualified  = regexp.MustCompile(`\b[a-z]+\.[A-Z]\w*(?:\.\w+)*`)
	mibObject  = regexp.MustCompile(`(?m)^\s*(\w+)\s+(?:OBJECT|MODULE|NOTIFICATION)-`)
	identifier = regexp.MustCompile(`^[A-Za-z]\w*(?:\.[A-Za-z]\w*)*$`)
	innerUpper = regexp.MustCompile(`[a-z][A-Z]`)
)

// DeadReferences returns the references in a Markdown page to things that do not exist: targets of links within the
// repository, Go files, paths below the top-level folders, tests and identifiers. Identifiers with a package name,
// such as core.Engine, are checked anywhere, others only in code spans. See declares for which names count as
// identifiers.
func (r *Repository) DeadReferences(page, text string) []Finding {
	var findings []Finding
	for i, line := range strings.Split(text, "\n") {
		report := func(kind, name string) {
			findings = append(findings, Finding{page, i + 1, fmt.Sprintf("no such %s: %s", kind, name)})
		}
		for _, match := range link.FindAllStringSubmatch(line, -1) {
			target := match[1]
			if !strings.Contains(target, "://") && !r.files[path.Join(path.Dir(page), target)] {
				report("link target", target)
			}
		}
		for _, name := range goFile.FindAllString(line, -1) {
			if !r.hasFile(name) {
				report("file", name)
			}
		}
		for _, match := range folderPath.FindAllStringSubmatch(line, -1) {
			if name := match[1]; !strings.HasSuffix(name, ".go") && !r.hasPath(name) {
				report("path", name)
			}
		}
		for _, name := range testName.FindAllString(line, -1) {
			if !r.identifiers[name] {
				report("test", name)
			}
		}
		names := map[string]bool{}
		for _, match := range codeSpan.FindAllStringSubmatch(line, -1) {
			names[strings.TrimSuffix(match[1], "()")] = true
		}
		for _, name := range qualified.FindAllString(line, -1) {
			names[name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if !r.declares(name) {
				report("identifier", name)
			}
		}
	}
	return findings
}

// hasFile reports whether a Go file exists. The name may be the file's path, the end of its path, or only its base
// name.
func (r *Repository) hasFile(name string) bool {
	name = strings.TrimPrefix(name, "./")
	if !strings.Contains(name, "/") {
		return r.baseNames[name]
	}
	if r.files[name] {
		return true
	}
	for file := range r.files {
		if strings.HasSuffix(file, "/"+name) {
			return true
		}
	}
	return false
}

// hasPath reports whether a path exists. Its last element may be a package with an identifier of it, as in
// internal/core.Engine.
func (r *Repository) hasPath(name string) bool {
	name = strings.TrimSuffix(strings.TrimSuffix(name, "/..."), "/")
	if r.files[name] {
		return true
	}
	folder, member, found := strings.Cut(path.Base(name), ".")
	return found && r.files[path.Join(path.Dir(name), folder)] && r.declares(folder+"."+member)
}

// declares reports whether the repository declares a name that looks like an identifier. It returns true for any other
// name, since pages also contain words of protocols, keys of files, commands and names of other packages. What is
// checked depends on the form of the name:
//   - A name without a dot is checked if it has a capital after a small letter.
//   - After the name of one of the repository's packages, each element is checked that begins with a capital or has
//     one after a small letter.
//   - Of any other name with dots, only the first element is checked, like a name without a dot.
func (r *Repository) declares(name string) bool {
	if !identifier.MatchString(name) {
		return true
	}
	first, rest, found := strings.Cut(name, ".")
	if !found {
		return !innerUpper.MatchString(name) || r.identifiers[name]
	}
	members := r.packages[first]
	if members == nil {
		return !innerUpper.MatchString(first) || r.identifiers[first]
	}
	for member := range strings.SplitSeq(rest, ".") {
		looksLikeGo := innerUpper.MatchString(member) || member[0] >= 'A' && member[0] <= 'Z'
		if looksLikeGo && !members[member] {
			return false
		}
	}
	return true
}

// ErrNoPages is returned by CheckPages if a pattern matches no page.
var ErrNoPages = errors.New("no pages match the pattern")

// CheckPages returns the dead references of all Markdown pages of a tree whose paths match one of the patterns.
func CheckPages(root fs.FS, patterns ...string) ([]Finding, error) {
	repository, err := ReadRepository(root)
	if err != nil {
		return nil, err
	}
	var findings []Finding
	for _, pattern := range patterns {
		pages, err := fs.Glob(root, pattern)
		if err != nil {
			return nil, err
		}
		if len(pages) == 0 {
			return nil, fmt.Errorf("%w: %s", ErrNoPages, pattern)
		}
		for _, page := range pages {
			text, err := fs.ReadFile(root, page)
			if err != nil {
				return nil, err
			}
			findings = append(findings, repository.DeadReferences(page, string(text))...)
		}
	}
	return findings, nil
}
