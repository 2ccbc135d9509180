package document

import (
	"bytes"
	"fmt"
)

// part is a piece of a text that is parsed separately. The parser needs about
// 60 bytes of live memory per byte of text, so parsing a large ticket at once
// would use up the whole memory budget of a node.
type part struct {
	text []byte
	// offset is the position of the part in the whole text, in bytes.
	offset int
	// lineOffset is the number of lines before the part.
	lineOffset int
}

// section is one top-level field of a document, or the whole document if its
// root is not a block mapping.
type section struct {
	key string
	// head is the part before the items, or the whole field if there are none.
	head part
	// items holds the elements of the value if it is a block sequence.
	items []part
}

// textLine is one line of a text, including its line end.
type textLine struct {
	text []byte
	// offset is the position of the line in the whole text, in bytes.
	offset int
	// indent is the number of leading spaces.
	indent int
}

// trimmed returns the line without leading spaces, trailing white space and line
// end.
func (l textLine) trimmed() []byte {
	return bytes.TrimRight(l.text[l.indent:], " \t\r\n")
}

// isEmpty reports whether the line is blank or holds only a comment.
func (l textLine) isEmpty() bool {
	b := bytes.TrimLeft(l.trimmed(), "\t")

	return len(b) == 0 || b[0] == '#'
}

// isSequenceEntry reports whether the line starts an entry of a block sequence.
func (l textLine) isSequenceEntry() bool {
	b := l.trimmed()

	return len(b) > 0 && b[0] == '-' && (len(b) == 1 || b[1] == ' ' || b[1] == '\t')
}

// isMarker reports whether the line starts with mark, one of the document
// markers --- and ..., and not with a longer word.
func (l textLine) isMarker(mark string) bool {
	b := l.text

	return bytes.HasPrefix(b, []byte(mark)) && (len(b) == len(mark) || bytes.IndexByte([]byte(" \t\r\n"), b[len(mark)]) >= 0)
}

// startsField reports whether the line starts a field of a block mapping that is
// not indented. Closing brackets and commas may also stand in the first column,
// as part of a value in flow style.
func (l textLine) startsField() bool {
	return l.indent == 0 && !l.isEmpty() && !l.isSequenceEntry() && bytes.IndexByte([]byte("\t]},"), l.text[0]) < 0
}

// startsBlockMapping reports whether the root of a text with this first line is
// a block mapping that is not indented.
func (l textLine) startsBlockMapping() bool {
	return l.startsField() && !l.isMarker("...") && bytes.IndexByte([]byte("{[%-"), l.text[0]) < 0
}

// textLines splits a text into lines.
func textLines(text []byte) []textLine {
	lines := []textLine{}
	for offset := 0; offset < len(text); {
		end := len(text)
		if i := bytes.IndexByte(text[offset:], '\n'); i >= 0 {
			end = offset + i + 1
		}
		l := text[offset:end]
		lines = append(lines, textLine{
			text:   l,
			offset: offset,
			indent: len(l) - len(bytes.TrimLeft(l, " ")),
		})
		offset = end
	}

	return lines
}

// splitter splits a text into sections by its lines, without parsing it.
type splitter struct {
	text  []byte
	lines []textLine
}

// part returns the lines in [first, end).
func (s *splitter) part(first, end int) part {
	limit := len(s.text)
	if end < len(s.lines) {
		limit = s.lines[end].offset
	}

	offset := s.lines[first].offset

	return part{
		text:       s.text[offset:limit],
		offset:     offset,
		lineOffset: first,
	}
}

// split returns the sections of a text and true if its root is a block mapping
// that is not indented. Any other text becomes a single section, with false.
func split(text []byte) ([]section, bool, *Problem) {
	s := &splitter{
		text:  text,
		lines: textLines(text),
	}
	first := s.skipEmpty(0, len(s.lines))
	if first < len(s.lines) && bytes.Equal(s.lines[first].trimmed(), []byte("---")) && s.lines[first].indent == 0 {
		first = s.skipEmpty(first+1, len(s.lines))
	}
	if first == len(s.lines) || !s.lines[first].startsBlockMapping() {
		return []section{{
			head: part{
				text: text,
			},
		}}, false, nil
	}

	end, p := s.end(first)
	if p != nil {
		return nil, false, p
	}
	sections := []section{}
	for first < end {
		if len(sections) == MaxKeys {
			return nil, false, &Problem{
				Line:   first + 1,
				Reason: fmt.Sprintf("more than %d keys in a mapping", MaxKeys),
				Code:   CodeTooManyTokens,
			}
		}
		next := first + 1
		for next < end && !s.lines[next].startsField() {
			next++
		}
		n, p := s.section(first, next)
		if p != nil {
			return nil, false, p
		}
		sections = append(sections, n)
		first = next
	}

	return sections, true, nil
}

// skipEmpty returns the first line in [i, end) that is not empty, or end.
func (s *splitter) skipEmpty(i, end int) int {
	for i < end && s.lines[i].isEmpty() {
		i++
	}

	return i
}

// end returns the line after the last one of the document that starts at
// line first, and a problem if another document follows.
func (s *splitter) end(first int) (int, *Problem) {
	for i := first; i < len(s.lines); i++ {
		l := s.lines[i]
		switch {
		case l.isMarker("---"):
			return 0, multipleDocumentsProblem(i + 1)
		case l.isMarker("..."):
			if n := s.skipEmpty(i+1, len(s.lines)); n < len(s.lines) {
				return 0, multipleDocumentsProblem(n + 1)
			}

			return i, nil
		}
	}

	return len(s.lines), nil
}

func multipleDocumentsProblem(line int) *Problem {
	return &Problem{
		Line:   line,
		Reason: "more than one document",
		Code:   CodeManyDocuments,
	}
}

// section returns the section that consists of the lines in [first, end). If its
// value is a block sequence, the section is split into its items.
func (s *splitter) section(first, end int) (section, *Problem) {
	whole := section{
		head: s.part(first, end),
	}
	i := s.skipEmpty(first+1, end)
	if i == end || !s.lines[i].isSequenceEntry() || !endsWithColon(s.lines[first]) {
		return whole, nil
	}

	n := section{
		head: s.part(first, i),
	}
	indent := s.lines[i].indent
	for i < end {
		k := i + 1
		for k < end && (s.lines[k].isEmpty() || s.lines[k].indent > indent) {
			k++
		}
		if k < end && (s.lines[k].indent < indent || !s.lines[k].isSequenceEntry()) {
			return whole, &Problem{
				Line:   k + 1,
				Reason: "not YAML: line does not fit the list above it",
				Code:   CodeNotYAML,
			}
		}
		n.items = append(n.items, s.part(i, k))
		i = k
	}

	return n, nil
}

// endsWithColon reports whether nothing but a comment follows the colon of a
// line's key.
func endsWithColon(l textLine) bool {
	b := l.trimmed()
	if i := bytes.Index(b, []byte(" #")); i >= 0 {
		b = bytes.TrimRight(b[:i], " \t")
	}

	return bytes.HasSuffix(b, []byte(":"))
}

// joinParts returns the part from the start of a to the end of b, two parts of
// the same text.
func joinParts(a, b part) part {
	return part{
		text:       a.text[:b.offset-a.offset+len(b.text)],
		offset:     a.offset,
		lineOffset: a.lineOffset,
	}
}
