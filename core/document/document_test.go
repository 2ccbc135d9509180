package document_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/document"
)

type sample struct {
	Name   string
	Count  int
	Number uint64
	On     bool
	List   []string
	Inner  struct {
		Slots int
	}
}

// Guards against invalid documents that are accepted, or reported with the wrong
// line, field or code.
func TestDecodeReportsProblems(t *testing.T) {
	cases := map[string]struct {
		text  string
		line  int
		field string
		code  document.Code
	}{
		"unknown field":         {"Name: a\nInner:\n  Colour: b\n", 3, "Inner.Colour", document.CodeUnknownField},
		"wrong case":            {"name: a\n", 1, "name", document.CodeUnknownField},
		"duplicate key":         {"Name: a\nName: b\n", 2, "Name", document.CodeDuplicateKey},
		"text for number":       {"Name: a\nCount: b\n", 2, "Count", document.CodeWrongType},
		"fraction":              {"Count: 1.5\n", 1, "Count", document.CodeWrongType},
		"hexadecimal":           {"Count: 0x10\n", 1, "Count", document.CodeWrongType},
		"negative":              {"Number: -1\n", 1, "Number", document.CodeWrongType},
		"too large":             {"Number: 99999999999999999999\n", 1, "Number", document.CodeWrongType},
		"text for bool":         {"On: yes\n", 1, "On", document.CodeWrongType},
		"scalar for list":       {"List: a\n", 1, "List", document.CodeWrongType},
		"list in list":          {"List:\n  - a\n  - [b]\n", 3, "List[1]", document.CodeWrongType},
		"list for struct":       {"Inner: [a]\n", 1, "Inner", document.CodeWrongType},
		"missing value":         {"Name: a\nCount:\n", 2, "Count", document.CodeMissing},
		"empty":                 {"", 1, "", document.CodeWrongType},
		"list at root":          {"- a\n", 1, "", document.CodeWrongType},
		"not UTF-8":             {"Name: a\nCount: \xff\n", 2, "", document.CodeNotUTF8},
		"control character":     {"Name: a\nCount: \x00\n", 2, "", document.CodeNotYAML},
		"not YAML":              {"Name: a\nList: [a\n", 2, "", document.CodeNotYAML},
		"two documents":         {"Name: a\n---\nName: b\n", 2, "", document.CodeManyDocuments},
		"anchor":                {"Name: &a b\n", 1, "", document.CodeAlias},
		"alias":                 {"Name: a\nList: *b\n", 2, "", document.CodeAlias},
		"merge key":             {"Inner:\n  <<: {Slots: 1}\n", 2, "", document.CodeAlias},
		"tag":                   {"Name: !!str a\n", 1, "", document.CodeTag},
		"deep flow":             {"List: " + strings.Repeat("[", 20), 1, "", document.CodeTooDeep},
		"deep block":            {strings.Repeat("- ", 20) + "a", 1, "", document.CodeTooDeep},
		"too long":              {strings.Repeat("#", document.MaxBytes+1), 1, "", document.CodeTooLong},
		"many tokens":           {"List:\n" + strings.Repeat("- a\n", document.MaxTokens), 60001, "", document.CodeTooManyTokens},
		"many flow keys":        {"Inner: {" + strings.Repeat("a,", 2000) + "}", 1, "", document.CodeTooManyTokens},
		"many empty values":     {"List:\n" + strings.Repeat("-\n", 2000), 1002, "", document.CodeTooManyTokens},
		"many inner keys":       {"Inner:\n" + strings.Repeat("  Slots: 1\n", 1000), 258, "", document.CodeTooManyTokens},
		"large part":            {"List: [" + strings.Repeat("a,", document.MaxPartTokens) + "]", 1, "", document.CodeTooManyTokens},
		"carriage return":       {"Name: a\rCount: 1\n", 1, "", document.CodeNotYAML},
		"flow after block":      {"Name: a\n{Count: 1}\n", 2, "", document.CodeNotYAML},
		"scalar after block":    {"Name: a\nb\n", 2, "", document.CodeNotYAML},
		"list after field":      {"Name: a\n- b\n", 2, "", document.CodeNotYAML},
		"less indentation":      {"List:\n    - a\n  - b\n", 3, "", document.CodeNotYAML},
		"text in a list":        {"List:\n  - a\n  b: c\n", 3, "", document.CodeNotYAML},
		"open quote":            {"List:\n  - \"a\n  - b\"\n", 2, "", document.CodeNotYAML},
		"block list for struct": {"Inner:\n  - a\n", 1, "Inner", document.CodeWrongType},
		"mapping in an item":    {"List:\n  - a\n  -\n    Slots: b\n", 4, "List[1]", document.CodeWrongType},
		"text after end":        {"Name: a\n...\nName: b\n", 3, "", document.CodeManyDocuments},
		"many keys":             {strings.Repeat("Name: a\n", 1000), 257, "", document.CodeTooManyTokens},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, problems := document.Decode([]byte(c.text), &sample{})
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Line, c.line)
			is.Equal(problems[0].Field, c.field)
			is.Equal(problems[0].Code, c.code)
		})
	}
}

// Guards against valid values that are refused or altered by decoding.
func TestDecodeKeepsValues(t *testing.T) {
	is := is.New(t)
	text := "---\n# comment\nName: \"a: b\"\nCount: -3\nNumber: 18446744073709551615\nOn: true\n" +
		"List: [007, 1e3, 'c', true]\nInner: {Slots: 2}\n...\n"
	v := sample{}
	d, problems := document.Decode([]byte(text), &v)
	is.Equal(len(problems), 0)
	is.Equal(v.Name, "a: b")
	is.Equal(v.Count, -3)
	is.Equal(v.Number, uint64(18446744073709551615))
	is.True(v.On)
	is.Equal(v.List, []string{"007", "1e3", "c", "true"})
	is.Equal(v.Inner.Slots, 2)
	is.Equal(d.Keys(), []string{"Name", "Count", "Number", "On", "List", "Inner"})
	is.Equal(d.Line("Inner.Slots"), 8)
	is.Equal(d.Line("List[9]"), 7)
}

// Guards against texts that are split at the wrong place: documents with the
// same fields in different layouts must decode to the same values and report
// the right lines.
func TestDecodeLayouts(t *testing.T) {
	layouts := []string{
		"Name: n\nList:\n  - a\n  - b\nInner:\n  Slots: x\n",
		"Name: n\nList:\n- a\n- b\nInner:\n  Slots: x\n",
		"\n---\nName: |-\n  n\nList: # c\n\n  - a\n# c\n  - b\n    # c\nInner: {Slots: x}\n...\n# c\n",
		"  Name: n\n  List:\n    - a\n    - b\n  Inner:\n    Slots: x\n",
		"{Name: n, List: [a, b], Inner: {Slots: x}}\n",
		"Name: n\r\nList:\r\n  - >-\r\n    a\r\n  - b\r\nInner:\r\n  Slots: x\r\n",
		"Name: \"n\"\nList: [\n  a,\n  b\n]\nInner:\n\n  Slots: x",
	}
	for i, text := range layouts {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			v := sample{}
			d, problems := document.Decode([]byte(text), &v)
			is.Equal(v.Name, "n")
			is.Equal(v.List, []string{"a", "b"})
			is.Equal(len(problems), 1)
			line := strings.Count(text[:strings.Index(text, "Slots")], "\n") + 1
			is.Equal(problems[0].Line, line)
			is.Equal(problems[0].Field, "Inner.Slots")
			is.Equal(d.Line("Inner.Slots"), line)
			is.Equal(d.Keys(), []string{"Name", "List", "Inner"})
			if strings.Contains(text, "- b") {
				is.Equal(d.Line("List[1]"), strings.Count(text[:strings.Index(text, "- b")], "\n")+1)
			}
		})
	}
}

// Guards against addresses in nested flow collections that are split at their
// colon, and against mappings that are accepted as text.
func TestDecodeFlowColon(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
		code document.Code
	}{
		"in a mapping":        {"{List: [127.0.0.1:80], Name: 127.0.0.1:80}\n", "127.0.0.1:80", ""},
		"two colons":          {"{List: [a:b:1]}\n", "a:b:1", ""},
		"outside":             {"List: [127.0.0.1:80]\n", "127.0.0.1:80", ""},
		"with a space":        {"{List: [a: 80]}\n", "", document.CodeWrongType},
		"quoted":              {"{List: ['a':80]}\n", "", document.CodeWrongType},
		"mapping in brackets": {"{List: [{a: 80}]}\n", "", document.CodeWrongType},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := sample{}
			_, problems := document.Decode([]byte(c.text), &v)
			if c.code != "" {
				is.Equal(len(problems), 1)
				is.Equal(problems[0].Code, c.code)

				return
			}
			is.Equal(len(problems), 0)
			is.Equal(v.List, []string{c.want})
		})
	}
}

// Guards against a list of problems that grows without bound for a hostile
// document.
func TestProblemsAreBounded(t *testing.T) {
	is := is.New(t)
	text := "List:\n" + strings.Repeat("  - [a]\n", 5000)
	_, problems := document.Decode([]byte(text), &sample{})
	is.Equal(len(problems), document.MaxProblems+1)
	is.Equal(problems[document.MaxProblems].Code, document.CodeTooManyProblems)
}

// Guards against documents that make the parser's time or memory grow with the
// square of their length, which shows in the bytes that it allocates. Each case
// repeats one construct, on its own or inside an open list, quote or mapping.
func TestDecodeAllocationIsBounded(t *testing.T) {
	units := []string{
		"[", "{a: ", "- ", "-\n", "? ", "a:\n", "a: b\n", "[]", "\"\" ", "|\n", "- |\n", "a: |\n x\n", "x\n",
		"a: {}\n", "- a: b\n", "- a:\n", "&a ", "!a ", ": ", ":", "---\n", "%a\n", "\t", "\n", "#\n", "~,", "a:\n b: c\n",
	}
	for _, u := range units {
		for _, prefix := range []string{"", "List:\n", "List: [", "List: \"", "Inner: {"} {
			t.Run(fmt.Sprintf("%q after %q", u, prefix), func(t *testing.T) {
				is := is.New(t)
				// About MaxTokens tokens, in at most MaxBytes.
				text := []byte(prefix + strings.Repeat(u, document.MaxTokens/(2*len(u))))
				got := allocatedBytes(func() {
					document.Decode(text, &sample{})
				})
				is.True(got <= document.MaxAllocation)
			})
		}
	}
}
