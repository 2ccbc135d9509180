package document

import (
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// joinedText returns the text of a plain scalar that the lexer took apart. In a
// list inside a flow mapping, as in {Addresses: [127.0.0.1:80]}, the lexer of
// goccy/go-yaml 1.19 reads a colon without a space as the colon of a mapping,
// but in YAML it is part of the scalar.
func joinedText(n ast.Node) (string, bool) {
	l := entries(n)
	if len(l) != 1 || l[0].Start == nil {
		return "", false
	}

	key, colon := l[0].Key.GetToken(), l[0].Start
	value, ok := plainToken(l[0].Value)
	if !ok || isQuoted(key) || !adjacent(key, colon) || !adjacent(colon, value) {
		return "", false
	}

	return key.Value + ":" + value.Value, true
}

// plainToken returns the token of a scalar without quotes.
func plainToken(n ast.Node) (*token.Token, bool) {
	switch n.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		t := n.GetToken()

		return t, !isQuoted(t)
	default:
		return nil, false
	}
}

func isQuoted(t *token.Token) bool {
	return t.Type == token.SingleQuoteType || t.Type == token.DoubleQuoteType
}

// adjacent reports whether b follows a without a space.
func adjacent(a, b *token.Token) bool {
	return a.Position.Line == b.Position.Line &&
		a.Position.Column+utf8.RuneCountInString(a.Value) == b.Position.Column
}
