package document

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml/token"
)

// Bounds of a document. The YAML lexer allocates up to about 300 bytes per
// token, and the parser's time grows with the square of the nesting depth, so
// both are limited before they run.
const (
	// MaxBytes is the largest document: a value of the configuration service
	// is at most 1 MB.
	MaxBytes = 1_000_000
	// MaxTokens is above the about 80,000 tokens of a ticket that lists 3,700
	// targets and 960 addresses.
	MaxTokens = 120_000
	// MaxPartTokens is the largest number of tokens that are parsed at once:
	// those of one item of a list in block style, or of a whole field in flow
	// style. It keeps the live memory below 32 MB, the budget of a node.
	MaxPartTokens = 16_000
	// MaxDepth is the deepest nesting; tickets and settings need 4 levels.
	MaxDepth = 16
	// MaxEmptyValues bounds values that are left out, because the parser's time
	// grows with their square.
	MaxEmptyValues = 1000
	// MaxKeys bounds the keys of one mapping, because the parser's time grows
	// with their square. Settings have 11.
	MaxKeys = 256
	// MaxAllocation bounds the bytes that decoding any text allocates in total:
	// about 1,100 per token and 60 per byte of text, and part of it twice to
	// locate problems.
	MaxAllocation = 200_000_000
)

// screenText checks what can be checked without a lexer. It does not allocate
// unless it finds a problem.
func screenText(text []byte) *Problem {
	if len(text) > MaxBytes {
		return &Problem{
			Line:   1,
			Reason: fmt.Sprintf("longer than 1 MB (%d bytes)", len(text)),
			Code:   CodeTooLong,
		}
	}
	if i := invalidByte(text); i >= 0 {
		return &Problem{
			Line:   lineAt(text, i),
			Reason: "not UTF-8",
			Code:   CodeNotUTF8,
		}
	}
	if i := controlByte(text); i >= 0 {
		return &Problem{
			Line:   lineAt(text, i),
			Reason: "not YAML: control character",
			Code:   CodeNotYAML,
		}
	}
	if i := excessToken(text, MaxTokens); i >= 0 {
		return &Problem{
			Line:   lineAt(text, i),
			Reason: fmt.Sprintf("more than %d tokens", MaxTokens),
			Code:   CodeTooManyTokens,
		}
	}

	return nil
}

func lineAt(text []byte, i int) int {
	return 1 + bytes.Count(text[:i], []byte("\n"))
}

// invalidByte returns the position of the first byte that is not UTF-8, or -1.
func invalidByte(text []byte) int {
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

// controlByte returns the position of the first control character, or -1. A
// carriage return is one unless it ends a line with a line feed.
func controlByte(text []byte) int {
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

// excessToken returns the position at which an estimate of the number of
// tokens passes a limit, or -1. The estimate counts indicators and words; it
// may exceed the real number inside long texts.
func excessToken(text []byte, limit int) int {
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

func startsToken(previous, c byte) bool {
	switch c {
	case '[', ']', '{', '}', ',', '"', '\'', '&', '*', '!', '#', '|', '>':
		return true
	case ' ', '\t', '\r', '\n':
		return previous == ':'
	}

	return previous == ' ' || previous == '\n' || previous == '\t'
}

// screen checks the tokens before the parser builds a tree from them.
type screen struct {
	line int
	// blocks are the open block collections, the innermost last.
	blocks []block
	// flows are the open brackets, the innermost last.
	flows []flow
	// colons counts the mapping values of the current line outside brackets.
	colons int
	// open is true while a line has held only sequence entries.
	open  bool
	empty int
}

// block is an open block collection.
type block struct {
	column int
	// keys counts the mapping values.
	keys int
}

// flow is an open bracket.
type flow struct {
	mapping bool
	// colons counts the mapping values of the current entry.
	colons int
}

func screenTokens(tokens token.Tokens) *Problem {
	s := &screen{}
	for _, t := range tokens {
		reason, code := s.check(t)
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

func (s *screen) check(t *token.Token) (string, Code) {
	s.startLine(t)
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
		s.flows = append(s.flows, flow{
			mapping: t.Type == token.MappingStartType,
		})
	case token.SequenceEndType, token.MappingEndType:
		s.flows = s.flows[:max(len(s.flows)-1, 0)]
	}
	s.indent(t)
	s.countEmpty(t)
	s.countKey(t)

	switch {
	case s.entryColons() > 1:
		return "not YAML: two mapping values in one place", CodeNotYAML
	case s.keys() > MaxKeys:
		return fmt.Sprintf("more than %d keys in a mapping", MaxKeys), CodeTooManyTokens
	case len(s.blocks)+len(s.flows) > MaxDepth:
		return fmt.Sprintf("nested deeper than %d levels", MaxDepth), CodeTooDeep
	case s.empty > MaxEmptyValues:
		return fmt.Sprintf("more than %d empty values", MaxEmptyValues), CodeTooManyTokens
	default:
		return "", ""
	}
}

func (s *screen) startLine(t *token.Token) {
	if t.Position.Line == s.line {
		return
	}

	s.line = t.Position.Line
	s.open = true
	s.colons = 0
}

// indent tracks the columns at which block collections start: the sequence
// entries of a line and the first other token after them.
func (s *screen) indent(t *token.Token) {
	if len(s.flows) > 0 || !s.open || t.Type == token.CommentType {
		return
	}

	s.open = t.Type == token.SequenceEntryType
	n := len(s.blocks)
	for n > 0 && s.blocks[n-1].column > t.Position.Column {
		n--
	}
	s.blocks = s.blocks[:n]
	if n == 0 || s.blocks[n-1].column < t.Position.Column {
		s.blocks = append(s.blocks, block{
			column: t.Position.Column,
		})
	}
}

// countKey counts a mapping value of the innermost bracket, or of the
// innermost block mapping and the current line.
func (s *screen) countKey(t *token.Token) {
	n := len(s.flows)
	switch {
	case t.Type == token.CollectEntryType && n > 0:
		s.flows[n-1].colons = 0
	case t.Type != token.MappingValueType:
	case n > 0:
		s.flows[n-1].colons++
	default:
		s.colons++
		if k := len(s.blocks); k > 0 {
			s.blocks[k-1].keys++
		}
	}
}

// entryColons returns the number of mapping values of the current entry.
func (s *screen) entryColons() int {
	if n := len(s.flows); n > 0 {
		return s.flows[n-1].colons
	}

	return s.colons
}

// keys returns the number of keys of the innermost block mapping.
func (s *screen) keys() int {
	if n := len(s.blocks); n > 0 {
		return s.blocks[n-1].keys
	}

	return 0
}

// countEmpty counts indicators without a value and keys of a flow mapping
// without a colon. It runs before countKey.
func (s *screen) countEmpty(t *token.Token) {
	n := t.Next
	f := len(s.flows)
	switch t.Type {
	case token.CollectEntryType:
		if n == nil || n.Type == t.Type || f > 0 && s.flows[f-1].mapping && s.flows[f-1].colons == 0 {
			s.empty++
		}
	case token.SequenceEntryType:
		if n == nil || n.Type == t.Type {
			s.empty++
		}
	case token.MappingValueType:
		if n == nil || n.Type == t.Type || f == 0 && s.startsSibling(t, n) {
			s.empty++
		}
	}
}

// startsSibling reports whether n, the token after the colon t, is the next
// key of a block mapping rather than the value.
func (s *screen) startsSibling(t, n *token.Token) bool {
	k := len(s.blocks)

	return k > 0 && n.Position.Line > t.Position.Line && n.Type != token.SequenceEntryType &&
		n.Position.Column <= s.blocks[k-1].column
}
