// Package document decodes a strict subset of YAML into structs. It decides
// whether a text is a valid document, within limits on its size and nesting,
// and reports every problem with its line, field and reason.
package document

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// minBatchBytes is the length at which a batch of list items is complete: items
// are added to a batch, and then parsed together, until it is this long.
const minBatchBytes = 8 << 10

// Document is a text split into the fields of its root mapping. To limit live
// memory, it keeps no syntax tree of the whole text: Decode parses one part at
// a time, and Line parses a part again to locate a field.
type Document struct {
	sections []section
	// blockRoot is true if the root is a block mapping that is not indented.
	blockRoot bool
	// cachedPart is the part that was last parsed to locate a field, and
	// root its syntax tree.
	cachedPart part
	root       ast.Node
}

// Parse splits a text into the fields of its root mapping. It returns a nil
// document and at least one problem if the text is not a single YAML mapping
// within the limits of this package. Items of block sequences are not parsed
// here; Decode reports their problems.
func Parse(text []byte) (*Document, []Problem) {
	if p := validateText(text); p != nil {
		return nil, []Problem{*p}
	}
	sections, blockRoot, p := split(text)
	if p != nil {
		return nil, []Problem{*p}
	}

	d := &Document{
		sections:  sections,
		blockRoot: blockRoot,
	}
	if problems := d.readKeys(); len(problems) > 0 {
		return nil, problems
	}

	return d, nil
}

// readKeys parses the head of each section and sets the section's key if the
// root is a block mapping.
func (d *Document) readKeys() []Problem {
	l := &problemList{}
	for i := range d.sections {
		n := &d.sections[i]
		e, p := d.entries(n)
		if p != nil {
			l.add(*p)

			continue
		}
		if d.blockRoot {
			n.key = keyText(e[0])
		}
	}

	return l.problems
}

// entries parses the head of a section and returns its fields. If the root is
// a block mapping, that is one field, which has no value if the section has
// items.
func (d *Document) entries(n *section) ([]*ast.MappingValueNode, *Problem) {
	root, p := parse(n.head)
	if p != nil {
		return nil, p
	}
	e := entries(root)
	switch {
	case !d.blockRoot && isMapping(root):
		return e, nil
	case !d.blockRoot:
		return nil, &Problem{
			Line:   1,
			Reason: "expected a mapping of fields",
			Code:   CodeWrongType,
		}
	case len(e) != 1 || isFlow(root) || len(n.items) > 0 && !isNull(e[0].Value):
		return nil, &Problem{
			Line:   n.head.lineOffset + 1,
			Reason: "not YAML: expected a field such as Key: value",
			Code:   CodeNotYAML,
		}
	default:
		return e, nil
	}
}

func isNull(n ast.Node) bool {
	return n == nil || n.Type() == ast.NullType
}

func isMapping(n ast.Node) bool {
	_, ok := n.(ast.MapNode)

	return ok
}

func isFlow(n ast.Node) bool {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.IsFlowStyle
	case *ast.MappingValueNode:
		return m.IsFlowStyle
	default:
		return false
	}
}

// parse parses a part of a document, after checks that bound the parser's cost.
func parse(p part) (ast.Node, *Problem) {
	if i := indexExcessToken(p.text, MaxPartTokens); i >= 0 {
		return nil, &Problem{
			Line:   p.lineOffset + lineAt(p.text, i),
			Reason: fmt.Sprintf("more than %d tokens in one part; write long lists in block style, one item a line", MaxPartTokens),
			Code:   CodeTooManyTokens,
		}
	}

	tokens := lexer.Tokenize(string(p.text))
	problem := validateTokens(tokens)
	if problem != nil {
		problem.Line += p.lineOffset

		return nil, problem
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		n := syntaxProblem(err)
		n.Line += p.lineOffset

		return nil, &n
	}

	return singleBody(f, p.lineOffset)
}

// syntaxProblem converts an error of the YAML parser. Its line counts from the
// start of the parsed part.
func syntaxProblem(err error) Problem {
	p := Problem{
		Line:   1,
		Reason: "not YAML",
		Code:   CodeNotYAML,
	}
	var y yaml.Error
	if !errors.As(err, &y) {
		return p
	}
	p.Reason = "not YAML: " + y.GetMessage()
	if t := y.GetToken(); t != nil && t.Position != nil {
		p.Line = t.Position.Line
	}

	return p
}

// singleBody returns the body of a file's only document, which is nil if the
// file is empty. The file starts after lineOffset lines of the whole text.
func singleBody(f *ast.File, lineOffset int) (ast.Node, *Problem) {
	var root ast.Node
	for i, d := range f.Docs {
		if i > 0 && (d.Body != nil || d.Start != nil) {
			return nil, multipleDocumentsProblem(lineOffset + documentLine(d))
		}
		root = d.Body
	}

	return root, nil
}

func documentLine(d *ast.DocumentNode) int {
	if d.Start != nil {
		return d.Start.Position.Line
	}

	return line(d.Body)
}

// Keys returns the keys of the document's top-level fields in textual order.
func (d *Document) Keys() []string {
	keys := []string{}
	for i := range d.sections {
		n := &d.sections[i]
		if d.blockRoot {
			keys = append(keys, n.key)

			continue
		}
		e, _ := d.entries(n)
		for _, v := range e {
			keys = append(keys, keyText(v))
		}
	}

	return keys
}

// Line returns the line of the field at path, such as Targets[2].Agent. If the
// field does not exist, it returns the line of the innermost existing field
// around it, or 1.
func (d *Document) Line(path string) int {
	n := d.sections[0]
	if d.blockRoot {
		key, rest := cutStep(path)
		i := slices.IndexFunc(d.sections, func(s section) bool {
			return s.key == key
		})
		if i < 0 {
			return 1
		}
		n = d.sections[i]
		if len(n.items) > 0 {
			return d.itemLine(n, rest)
		}
	}

	return d.findLine(n.head, path, 1)
}

// itemLine returns the line of a path that starts with an index into n.items.
func (d *Document) itemLine(n section, path string) int {
	step, rest := cutStep(path)
	i, err := strconv.Atoi(step)
	if err != nil || i < 0 || i >= len(n.items) {
		return n.head.lineOffset + 1
	}

	return d.findLine(n.items[i], "[0]."+rest, n.items[i].lineOffset+1)
}

// findLine returns the line of the innermost existing node along path in a
// part, or fallback if there is none.
func (d *Document) findLine(p part, path string, fallback int) int {
	if d.root == nil || len(p.text) != len(d.cachedPart.text) || p.offset != d.cachedPart.offset {
		root, problem := parse(p)
		if problem != nil {
			return fallback
		}
		d.cachedPart = p
		d.root = root
	}

	n := d.root
	for path != "" {
		step, rest := cutStep(path)
		next, l := child(n, step)
		if next == nil {
			return fallback
		}
		n = next
		fallback = p.lineOffset + l
		path = rest
	}

	return fallback
}

// cutStep splits a path into its first key or index, without brackets, and the
// rest.
func cutStep(path string) (step, rest string) {
	if path == "" {
		return "", ""
	}
	if path[0] == '[' {
		step, rest, _ = strings.Cut(path[1:], "]")

		return step, strings.TrimPrefix(rest, ".")
	}
	i := strings.IndexAny(path, ".[")
	if i < 0 {
		return path, ""
	}

	return path[:i], strings.TrimPrefix(path[i:], ".")
}

// entries returns the fields of a mapping, or nil if n is not a mapping.
func entries(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	default:
		return nil
	}
}

func keyText(v *ast.MappingValueNode) string {
	if s, ok := v.Key.(*ast.StringNode); ok {
		return s.Value
	}
	if t := v.Key.GetToken(); t != nil {
		return t.Value
	}

	return ""
}

// line returns the line on which a node starts: for a mapping, that of its
// first key.
func line(n ast.Node) int {
	if n == nil {
		return 1
	}
	if v := entries(n); len(v) > 0 {
		n = v[0].Key
	}

	return tokenLine(n.GetToken())
}

func tokenLine(t *token.Token) int {
	if t == nil || t.Position == nil {
		return 1
	}

	return t.Position.Line
}
