// Package document decodes strict YAML documents into structs and reports
// every problem with its line, field and reason.
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

// batchBytes is the length from which items are not parsed together any more.
const batchBytes = 8 << 10

// Document is a text that was cut into its fields. It parses them one after
// the other, and again to locate a field.
type Document struct {
	sections []section
	// block is true if the root is a block mapping at the left margin.
	block bool
	// located is the part that was parsed last to locate a field.
	located part
	root    ast.Node
}

// Parse finds the fields of a text. The problems are not empty if the text is
// not one YAML mapping within the bounds of this package, as far as this shows
// without its items; the document is then nil.
func Parse(text []byte) (*Document, []Problem) {
	if p := screenText(text); p != nil {
		return nil, []Problem{*p}
	}
	sections, block, p := split(text)
	if p != nil {
		return nil, []Problem{*p}
	}

	d := &Document{
		sections: sections,
		block:    block,
	}
	if problems := d.readKeys(); len(problems) > 0 {
		return nil, problems
	}

	return d, nil
}

// readKeys sets the keys of all sections.
func (d *Document) readKeys() []Problem {
	l := &list{}
	for i := range d.sections {
		n := &d.sections[i]
		e, p := d.entries(n)
		if p != nil {
			l.add(*p)

			continue
		}
		if d.block {
			n.key = keyText(e[0])
		}
	}

	return l.problems
}

// entries parses a section without its items and returns its fields. In a
// block mapping it is one field, which has no value if the section has items.
func (d *Document) entries(n *section) ([]*ast.MappingValueNode, *Problem) {
	root, p := parse(n.head)
	if p != nil {
		return nil, p
	}
	e := entries(root)
	switch {
	case !d.block && isMapping(root):
		return e, nil
	case !d.block:
		return nil, &Problem{
			Line:   1,
			Reason: "expected a mapping of fields",
			Code:   CodeWrongType,
		}
	case len(e) != 1 || isFlow(root) || len(n.items) > 0 && !isNull(e[0].Value):
		return nil, &Problem{
			Line:   n.head.base + 1,
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

// parse parses a part of a document.
func parse(p part) (ast.Node, *Problem) {
	if i := excessToken(p.text, MaxPartTokens); i >= 0 {
		return nil, &Problem{
			Line:   p.base + lineAt(p.text, i),
			Reason: fmt.Sprintf("more than %d tokens in one part; write long lists in block style, one item a line", MaxPartTokens),
			Code:   CodeTooManyTokens,
		}
	}

	tokens := lexer.Tokenize(string(p.text))
	problem := screenTokens(tokens)
	if problem != nil {
		problem.Line += p.base

		return nil, problem
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		n := syntaxProblem(err)
		n.Line += p.base

		return nil, &n
	}

	return onlyBody(f, p.base)
}

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

// onlyBody returns the body of the only document of a file.
func onlyBody(f *ast.File, base int) (ast.Node, *Problem) {
	var root ast.Node
	for i, d := range f.Docs {
		if i > 0 && (d.Body != nil || d.Start != nil) {
			return nil, manyDocuments(base + documentLine(d))
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

// Keys returns the keys of the document's fields in their order.
func (d *Document) Keys() []string {
	keys := []string{}
	for i := range d.sections {
		n := &d.sections[i]
		if d.block {
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

// Line returns the line of the field at path, such as Targets[2].Agent, or of
// the innermost field of the path that exists.
func (d *Document) Line(path string) int {
	n := d.sections[0]
	if d.block {
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

	return d.find(n.head, path, 1)
}

// itemLine returns the line of a path that starts with an index into n.items.
func (d *Document) itemLine(n section, path string) int {
	step, rest := cutStep(path)
	i, err := strconv.Atoi(step)
	if err != nil || i < 0 || i >= len(n.items) {
		return n.head.base + 1
	}

	return d.find(n.items[i], "[0]."+rest, n.items[i].base+1)
}

// find returns the line of path in a part, or at if the path does not exist.
func (d *Document) find(p part, path string, at int) int {
	if d.root == nil || len(p.text) != len(d.located.text) || p.start != d.located.start {
		root, problem := parse(p)
		if problem != nil {
			return at
		}
		d.located = p
		d.root = root
	}

	n := d.root
	for path != "" {
		step, rest := cutStep(path)
		next, l := child(n, step)
		if next == nil {
			return at
		}
		n = next
		at = p.base + l
		path = rest
	}

	return at
}

// cutStep splits the first key or index off a path.
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

// entries returns the keys and values of a mapping, or nil.
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
