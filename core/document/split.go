package document

import (
	"bytes"
	"fmt"
)

// part is a piece of a text that is parsed by itself. The parser needs about
// 60 bytes of live memory for each byte of text, so that parsing a large ticket
// at once would take the whole memory budget of a node.
type part struct {
	text []byte
	// start is the position of the part in the whole text.
	start int
	// base is the number of lines before the part.
	base int
}

// section is one field of the document.
type section struct {
	key string
	// head is the whole field, or what precedes the first of its items.
	head part
	// items are the elements of a block sequence.
	items []part
}

// textLine is one line with its end.
type textLine struct {
	text []byte
	// start is its position in the text.
	start int
	// indent is the number of spaces in front.
	indent int
}

// bare returns the line without indentation and line end.
func (l textLine) bare() []byte {
	return bytes.TrimRight(l.text[l.indent:], " \t\r\n")
}

// empty reports whether the line holds at most a comment.
func (l textLine) empty() bool {
	b := bytes.TrimLeft(l.bare(), "\t")

	return len(b) == 0 || b[0] == '#'
}

// entry reports whether the line starts with a sequence entry.
func (l textLine) entry() bool {
	b := l.bare()

	return len(b) > 0 && b[0] == '-' && (len(b) == 1 || b[1] == ' ' || b[1] == '\t')
}

// marker reports whether the line starts or ends a document.
func (l textLine) marker(mark string) bool {
	b := l.text

	return bytes.HasPrefix(b, []byte(mark)) && (len(b) == len(mark) || bytes.IndexByte([]byte(" \t\r\n"), b[len(mark)]) >= 0)
}

// field reports whether the line starts a field of a block mapping at the left
// margin. Closing brackets and commas may stand there inside a value.
func (l textLine) field() bool {
	return l.indent == 0 && !l.empty() && !l.entry() && bytes.IndexByte([]byte("\t]},"), l.text[0]) < 0
}

// startsBlock reports whether a text with this first line has a block mapping
// at the left margin as its root.
func (l textLine) startsBlock() bool {
	return l.field() && !l.marker("...") && bytes.IndexByte([]byte("{[%-"), l.text[0]) < 0
}

func textLines(text []byte) []textLine {
	lines := []textLine{}
	for start := 0; start < len(text); {
		end := len(text)
		if i := bytes.IndexByte(text[start:], '\n'); i >= 0 {
			end = start + i + 1
		}
		l := text[start:end]
		lines = append(lines, textLine{
			text:   l,
			start:  start,
			indent: len(l) - len(bytes.TrimLeft(l, " ")),
		})
		start = end
	}

	return lines
}

// splitter cuts a text whose root is a block mapping at the left margin. Any
// other text stays whole.
type splitter struct {
	text  []byte
	lines []textLine
}

// part returns the lines from first up to but without last.
func (s *splitter) part(first, last int) part {
	end := len(s.text)
	if last < len(s.lines) {
		end = s.lines[last].start
	}

	start := s.lines[first].start

	return part{
		text:  s.text[start:end],
		start: start,
		base:  first,
	}
}

// split returns the sections of a text, and true, or the whole text as one
// section, and false.
func split(text []byte) ([]section, bool, *Problem) {
	s := &splitter{
		text:  text,
		lines: textLines(text),
	}
	first := s.next(0, len(s.lines))
	if first < len(s.lines) && bytes.Equal(s.lines[first].bare(), []byte("---")) && s.lines[first].indent == 0 {
		first = s.next(first+1, len(s.lines))
	}
	if first == len(s.lines) || !s.lines[first].startsBlock() {
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
		last := first + 1
		for last < end && !s.lines[last].field() {
			last++
		}
		n, p := s.section(first, last)
		if p != nil {
			return nil, false, p
		}
		sections = append(sections, n)
		first = last
	}

	return sections, true, nil
}

// next returns the first line from i to end that is not empty, or end.
func (s *splitter) next(i, end int) int {
	for i < end && s.lines[i].empty() {
		i++
	}

	return i
}

// end returns the line after the document, which must be the only one.
func (s *splitter) end(first int) (int, *Problem) {
	for i := first; i < len(s.lines); i++ {
		l := s.lines[i]
		switch {
		case l.marker("---"):
			return 0, manyDocuments(i + 1)
		case l.marker("..."):
			if n := s.next(i+1, len(s.lines)); n < len(s.lines) {
				return 0, manyDocuments(n + 1)
			}

			return i, nil
		}
	}

	return len(s.lines), nil
}

func manyDocuments(line int) *Problem {
	return &Problem{
		Line:   line,
		Reason: "more than one document",
		Code:   CodeManyDocuments,
	}
}

// section returns the section of the lines from first up to but without last.
// If its value is a block sequence, it is cut into its items.
func (s *splitter) section(first, last int) (section, *Problem) {
	whole := section{
		head: s.part(first, last),
	}
	i := s.next(first+1, last)
	if i == last || !s.lines[i].entry() || !endsWithColon(s.lines[first]) {
		return whole, nil
	}

	n := section{
		head: s.part(first, i),
	}
	indent := s.lines[i].indent
	for i < last {
		k := i + 1
		for k < last && (s.lines[k].empty() || s.lines[k].indent > indent) {
			k++
		}
		if k < last && (s.lines[k].indent < indent || !s.lines[k].entry()) {
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

// endsWithColon reports whether a line has nothing behind the colon of its key.
func endsWithColon(l textLine) bool {
	b := l.bare()
	if i := bytes.Index(b, []byte(" #")); i >= 0 {
		b = bytes.TrimRight(b[:i], " \t")
	}

	return bytes.HasSuffix(b, []byte(":"))
}

// joined returns the part that begins with a and ends with b, two parts of one
// text.
func joined(a, b part) part {
	return part{
		text:  a.text[:b.start-a.start+len(b.text)],
		start: a.start,
		base:  a.base,
	}
}
