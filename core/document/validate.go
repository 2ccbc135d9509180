package document

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml/token"
)

// Limits of a document, checked before the YAML lexer and parser run. The lexer
// allocates up to about 300 bytes per token, and the parser's time grows with
// the square of the nesting depth.
const (
	// MaxBytes is the maximum length of a document, in bytes. The configuration
	// service holds values of up to 1 MB.
	MaxBytes = 1_000_000
	// MaxTokens is the maximum number of tokens in a document. A ticket that
	// lists 3,700 targets and 960 addresses has about 80,000.
	MaxTokens = 120_000
	// MaxPartTokens is the maximum number of tokens that are parsed at once, as
	// one item of a list in block style or as a whole field in flow style. It
	// keeps live memory below 32 MB, the budget of a node.
	MaxPartTokens = 16_000
	// MaxDepth is the maximum nesting depth. Tickets and settings need 4 levels.
	MaxDepth = 16
	// MaxEmptyValues bounds the number of omitted values, because the parser's
	// time grows with the square of that number.
	MaxEmptyValues = 1000
	// MaxKeys bounds the number of keys of one mapping, because the parser's time
	// grows with the square of that number. Settings have 11 keys.
	MaxKeys = 256
	// MaxAllocation bounds the bytes that decoding allocates in total, whatever
	// the text: about 1,100 bytes per token and 60 per byte of text, some of them
	// twice to locate problems.
	MaxAllocation = 200_000_000
)

// validateText checks length, encoding, control characters and the estimated
// number of tokens before the lexer runs. It does not allocate unless it finds a
// problem.
func validateText(text []byte) *Problem {
	if len(text) > MaxBytes {
		return &Problem{
			Line:   1,
			Reason: fmt.Sprintf("longer than 1 MB (%d bytes)", len(text)),
			Code:   CodeTooLong,
		}
	}
	if i := indexInvalidUTF8(text); i >= 0 {
		return &Problem{
			Line:   lineAt(text, i),
			Reason: "not UTF-8",
			Code:   CodeNotUTF8,
		}
	}
	if i := indexControlCharacter(text); i >= 0 {
		return &Problem{
			Line:   lineAt(text, i),
			Reason: "not YAML: control character",
			Code:   CodeNotYAML,
		}
	}
	if i := indexExcessToken(text, MaxTokens); i >= 0 {
		return &Problem{
			Line:   lineAt(text, i),
			Reason: fmt.Sprintf("more than %d tokens", MaxTokens),
			Code:   CodeTooManyTokens,
		}
	}

	return nil
}

// lineAt returns the line of the byte at position i, counted from 1.
func lineAt(text []byte, i int) int {
	return 1 + bytes.Count(text[:i], []byte("\n"))
}

// indexInvalidUTF8 returns the position of the first byte that is not valid
// UTF-8, or -1.
func indexInvalidUTF8(text []byte) int {
	if utf8.Valid(text) {
		return -1
	}

	for i := 0; i < len(text); {
		r, n := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}

	return -1
}

// indexControlCharacter returns the position of the first control character
// that is not allowed, or -1. Tabs, line feeds and carriage returns directly
// before a line feed are allowed.
func indexControlCharacter(text []byte) int {
	for i, b := range text {
		switch {
		case b == '\n' || b == '\t':
		case b == '\r' && i+1 < len(text) && text[i+1] == '\n':
		case b < ' ' || b == 0x7f:
			return i
		}
	}

	return -1
}

// indexExcessToken returns the position at which the estimated number of tokens
// exceeds limit, or -1. The estimate counts YAML indicators and words, so it is
// too high for long scalars and comments.
func indexExcessToken(text []byte, limit int) int {
	count := 0
	previous := byte('\n')
	for i, c := range text {
		if startsToken(previous, c) {
			count++
		}
		if count > limit {
			return i
		}
		previous = c
	}

	return -1
}

// startsToken reports whether c counts as the start of a token after the byte
// previous.
func startsToken(previous, c byte) bool {
	switch c {
	case '[', ']', '{', '}', ',', '"', '\'', '&', '*', '!', '#', '|', '>':
		return true
	case ' ', '\t', '\r', '\n':
		return previous == ':'
	}

	return previous == ' ' || previous == '\n' || previous == '\t'
}

// tokenValidator checks the tokens of a part before the parser builds a syntax
// tree from them. It refuses YAML features that documents may not use and
// constructs that make the parser's cost grow faster than the text.
type tokenValidator struct {
	line int
	// blocks holds the open block collections, innermost last.
	blocks []blockCollection
	// flows holds the open flow collections, innermost last.
	flows []flowCollection
	// colons counts the key-value separators on the current line outside flow
	// collections.
	colons int
	// atLineStart is true as long as the current line has held nothing but
	// sequence entry indicators.
	atLineStart bool
	// emptyValues counts the omitted values so far.
	emptyValues int
}

// blockCollection is an open YAML collection in block style.
type blockCollection struct {
	column int
	// keys counts the keys of a mapping.
	keys int
}

// flowCollection is an open YAML collection in flow style, [...] or {...}.
type flowCollection struct {
	mapping bool
	// colons counts the key-value separators of the current entry.
	colons int
}

func validateTokens(tokens token.Tokens) *Problem {
	v := &tokenValidator{}
	for _, t := range tokens {
		reason, code := v.validate(t)
		if code != "" {
			return &Problem{
				Line:   t.Position.Line,
				Reason: reason,
				Code:   code,
			}
		}
	}

	return nil
}

// validate checks the next token. It returns the reason and code of a problem,
// or empty strings.
func (v *tokenValidator) validate(t *token.Token) (string, Code) {
	v.startLine(t)
	switch t.Type {
	case token.AnchorType, token.AliasType, token.MergeKeyType:
		return "anchors, aliases and merge keys are not allowed", CodeAlias
	case token.TagType, token.DirectiveType:
		return "tags and directives are not allowed", CodeTag
	case token.MappingKeyType:
		return "explicit keys (? key) are not allowed", CodeNotYAML
	case token.InvalidType:
		return "not YAML: " + t.Error, CodeNotYAML
	case token.SequenceStartType, token.MappingStartType:
		v.flows = append(v.flows, flowCollection{
			mapping: t.Type == token.MappingStartType,
		})
	case token.SequenceEndType, token.MappingEndType:
		v.flows = v.flows[:max(len(v.flows)-1, 0)]
	}
	v.trackIndent(t)
	v.countEmptyValue(t)
	v.countKey(t)

	switch {
	case v.entryColons() > 1:
		return "not YAML: two mapping values in one place", CodeNotYAML
	case v.keys() > MaxKeys:
		return fmt.Sprintf("more than %d keys in a mapping", MaxKeys), CodeTooManyTokens
	case len(v.blocks)+len(v.flows) > MaxDepth:
		return fmt.Sprintf("nested deeper than %d levels", MaxDepth), CodeTooDeep
	case v.emptyValues > MaxEmptyValues:
		return fmt.Sprintf("more than %d empty values", MaxEmptyValues), CodeTooManyTokens
	default:
		return "", ""
	}
}

func (v *tokenValidator) startLine(t *token.Token) {
	if t.Position.Line == v.line {
		return
	}

	v.line = t.Position.Line
	v.atLineStart = true
	v.colons = 0
}

// trackIndent updates the stack of open block collections. Those start at the
// columns of the sequence entry indicators at the start of a line, and of the
// first other token of the line.
func (v *tokenValidator) trackIndent(t *token.Token) {
	if len(v.flows) > 0 || !v.atLineStart || t.Type == token.CommentType {
		return
	}

	v.atLineStart = t.Type == token.SequenceEntryType
	n := len(v.blocks)
	for n > 0 && v.blocks[n-1].column > t.Position.Column {
		n--
	}
	v.blocks = v.blocks[:n]
	if n == 0 || v.blocks[n-1].column < t.Position.Column {
		v.blocks = append(v.blocks, blockCollection{
			column: t.Position.Column,
		})
	}
}

// countKey counts a key-value separator in the innermost flow collection or,
// outside flow collections, on the current line and in the innermost block
// mapping.
func (v *tokenValidator) countKey(t *token.Token) {
	n := len(v.flows)
	switch {
	case t.Type == token.CollectEntryType && n > 0:
		v.flows[n-1].colons = 0
	case t.Type != token.MappingValueType:
	case n > 0:
		v.flows[n-1].colons++
	default:
		v.colons++
		if k := len(v.blocks); k > 0 {
			v.blocks[k-1].keys++
		}
	}
}

// entryColons returns the number of key-value separators in the current entry
// of a flow collection or, outside flow collections, on the current line.
func (v *tokenValidator) entryColons() int {
	if n := len(v.flows); n > 0 {
		return v.flows[n-1].colons
	}

	return v.colons
}

// keys returns the number of keys in the innermost block collection.
func (v *tokenValidator) keys() int {
	if n := len(v.blocks); n > 0 {
		return v.blocks[n-1].keys
	}

	return 0
}

// countEmptyValue counts indicators that no value follows, and keys of a flow
// mapping without a colon. It must run before countKey, which resets the count
// of colons at the end of a flow entry.
func (v *tokenValidator) countEmptyValue(t *token.Token) {
	n := t.Next
	f := len(v.flows)
	switch t.Type {
	case token.CollectEntryType:
		if n == nil || n.Type == t.Type || f > 0 && v.flows[f-1].mapping && v.flows[f-1].colons == 0 {
			v.emptyValues++
		}
	case token.SequenceEntryType:
		if n == nil || n.Type == t.Type {
			v.emptyValues++
		}
	case token.MappingValueType:
		if n == nil || n.Type == t.Type || f == 0 && v.startsSibling(t, n) {
			v.emptyValues++
		}
	}
}

// startsSibling reports whether n, the token after the colon t, is the next key
// of a block mapping rather than the value of t's key.
func (v *tokenValidator) startsSibling(t, n *token.Token) bool {
	k := len(v.blocks)

	return k > 0 && n.Position.Line > t.Position.Line && n.Type != token.SequenceEntryType &&
		n.Position.Column <= v.blocks[k-1].column
}
