// Package document decodes strict YAML documents into structs and reports
// every problem with its line, field and reason.
package document

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// Document is a parsed document whose fields can be located. The zero value
// has no fields.
type Document struct {
	root ast.Node
}

// Parse parses text. The problems are not empty if the text is not one YAML
// mapping within the bounds of this package; the document is then nil.
func Parse(text []byte) (*Document, []Problem) {
	if p := screenText(text); p != nil {
		return nil, []Problem{*p}
	}
	tokens := lexer.Tokenize(string(text))
	if p := screenTokens(tokens); p != nil {
		return nil, []Problem{*p}
	}

	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, []Problem{syntaxProblem(err)}
	}
	root, p := onlyBody(f)
	if p != nil {
		return nil, []Problem{*p}
	}

	return &Document{
		root: root,
	}, nil
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

func onlyBody(f *ast.File) (ast.Node, *Problem) {
	var root ast.Node
	for i, d := range f.Docs {
		if i > 0 && (d.Body != nil || d.Start != nil) {
			return nil, &Problem{
				Line:   documentLine(d),
				Reason: "more than one document",
				Code:   CodeManyDocuments,
			}
		}
		root = d.Body
	}
	if _, ok := root.(ast.MapNode); !ok {
		return nil, &Problem{
			Line:   1,
			Reason: "expected a mapping of fields",
			Code:   CodeWrongType,
		}
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
	for _, v := range entries(d.root) {
		keys = append(keys, keyText(v))
	}

	return keys
}

// Line returns the line of the field at path, such as Targets[2].Agent, or of
// the innermost field of the path that exists.
func (d *Document) Line(path string) int {
	n := d.root
	at := 1
	for path != "" {
		step, rest := cutStep(path)
		next, l := child(n, step)
		if next == nil {
			return at
		}
		n = next
		at = l
		path = rest
	}

	return at
}

// cutStep splits the first key or index off a path.
func cutStep(path string) (step, rest string) {
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
