package document

import (
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// joinedText restores the text of a plain scalar that the lexer split at a
// colon, and returns false for any other node. In a list inside a flow mapping,
// as in {Addresses: [127.0.0.1:80]}, the lexer of goccy/go-yaml 1.19 treats a
// colon without a following space as the separator of a key and its value, but
// by the YAML specification it is part of the scalar.
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

// plainToken returns the token of an unquoted scalar, or false.
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

// adjacent reports whether b follows a on the same line without a space.
func adjacent(a, b *token.Token) bool {
	return a.Position.Line == b.Position.Line &&
		a.Position.Column+utf8.RuneCountInString(a.Value) == b.Position.Column
}
