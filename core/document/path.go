package document

import (
	"fmt"
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// maxQuotedBytes bounds how much of a key or value a problem repeats.
const maxQuotedBytes = 64

// path locates a field in a document. It is a linked list, so that its text is
// only built when there is a problem to report.
type path struct {
	parent *path
	// key is empty for an element of a list, which index identifies.
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

	return prefix + truncate(p.key)
}

// problem returns a problem of the field at p.
func (p *path) problem(reason string, code Code) Problem {
	return Problem{
		Line:   p.line,
		Field:  p.String(),
		Reason: reason,
		Code:   code,
	}
}

func (p *path) wrongType(n ast.Node, want string) Problem {
	return p.problem(fmt.Sprintf("expected %s, found %s", want, describeType(n)), CodeWrongType)
}

// describeType names the type of a node. It omits the value, which may be a
// secret.
func describeType(n ast.Node) string {
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
	return strconv.Quote(truncate(s))
}

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}

	return s[:maxQuotedBytes] + "..."
}

// child returns the node one step of a path below n and its line, or nil if
// there is none.
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
