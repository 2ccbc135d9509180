package document

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// maxQuoted bounds how much of a value a reason repeats, in bytes.
const maxQuoted = 64

// path is a field's place; its text is built only when there is a problem.
type path struct {
	parent *path
	// key is empty for an element of a list, which has an index.
	key   string
	index int
	line  int
}

// String formats a path as Targets[2].Agent. The path of the document is empty.
func (p *path) String() string {
	if p == nil {
		return ""
	}

	prefix := p.parent.String()
	if p.key == "" {
		return prefix + "[" + strconv.Itoa(p.index) + "]"
	}
	if prefix != "" {
		prefix += "."
	}

	return prefix + shorten(p.key)
}

func (p *path) problem(reason string, code Code) Problem {
	return Problem{
		Line:   p.line,
		Field:  p.String(),
		Reason: reason,
		Code:   code,
	}
}

func (p *path) wrongType(n ast.Node, want string) Problem {
	return p.problem(fmt.Sprintf("expected %s, found %s", want, describe(n)), CodeWrongType)
}

func describe(n ast.Node) string {
	// Values are not repeated here, because the field may hold a secret.
	switch n.(type) {
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	default:
		return "something else"
	}
}

func quote(s string) string {
	return strconv.Quote(shorten(s))
}

func shorten(s string) string {
	if len(s) <= maxQuoted {
		return s
	}

	return s[:maxQuoted] + "..."
}

// child returns the node at one step of a path and its line, or nil.
func child(n ast.Node, step string) (ast.Node, int) {
	if s, ok := n.(*ast.SequenceNode); ok {
		i, err := strconv.Atoi(step)
		if err != nil || i < 0 || i >= len(s.Values) {
			return nil, 0
		}

		return s.Values[i], line(s.Values[i])
	}
	for _, e := range entries(n) {
		if keyText(e) == step {
			return e.Value, tokenLine(e.Key.GetToken())
		}
	}

	return nil, 0
}
