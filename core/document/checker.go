package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unicode"
)

// MaxNameBytes is the longest name of an object.
const MaxNameBytes = 64

// Checker adds the problems of a decoded document's values to those of its
// form. It reports nothing about a field that could not be decoded, and nothing
// at all if a part of the text is not YAML.
type Checker struct {
	document *Document
	list     list
	// failed are the paths of fields that have a problem of form.
	failed map[string]bool
}

// NewChecker returns a checker that starts with the problems of decoding.
func NewChecker(d *Document, problems []Problem) *Checker {
	c := &Checker{
		document: d,
		list: list{
			problems: problems,
		},
		failed: map[string]bool{},
	}
	for _, p := range problems {
		c.failed[p.Field] = true
	}

	return c
}

// Problems returns all problems found, in the order of lines.
func (c *Checker) Problems() []Problem {
	slices.SortStableFunc(c.list.problems, func(a, b Problem) int {
		return cmp.Compare(a.Line, b.Line)
	})

	return c.list.problems
}

// Decoded reports whether the whole document could be decoded. Checks that
// compare fields are only useful then.
func (c *Checker) Decoded() bool {
	return len(c.failed) == 0
}

// Add reports a problem of the field at path.
func (c *Checker) Add(path string, code Code, format string, args ...any) {
	if c.undecoded(path) || c.list.full() {
		return
	}

	c.list.add(Problem{
		Line:   c.document.Line(path),
		Field:  path,
		Reason: fmt.Sprintf(format, args...),
		Code:   code,
	})
}

// undecoded reports whether the field at path or one around it failed.
func (c *Checker) undecoded(path string) bool {
	if c.failed[""] {
		return true
	}
	for p := path; p != "" && len(c.failed) > 0; {
		if c.failed[p] {
			return true
		}
		p = p[:max(strings.LastIndexAny(p, ".["), 0)]
	}

	return false
}

// Name checks that s is a name: not empty, at most MaxNameBytes long and
// printable, without space at either end.
func (c *Checker) Name(path, s string) {
	switch {
	case s == "":
		c.Add(path, CodeMissing, "name is missing")
	case len(s) > MaxNameBytes:
		c.Add(path, CodeBadName, "name is longer than %d bytes", MaxNameBytes)
	case strings.ContainsFunc(s, isNotPrint) || strings.TrimSpace(s) != s:
		c.Add(path, CodeBadName, "name %s is not printable or begins or ends with a space", quote(s))
	}
}

func isNotPrint(r rune) bool {
	return !unicode.IsPrint(r)
}

// Address checks that a is a unicast address with a port.
func (c *Checker) Address(path string, a netip.AddrPort) {
	ip := a.Addr()
	switch {
	case !a.IsValid():
		c.Add(path, CodeMissing, "address is missing")
	case a.Port() == 0:
		c.Add(path, CodeBadAddress, "address %v has port 0", a)
	case ip.IsUnspecified():
		c.Add(path, CodeBadAddress, "address %v is unspecified", a)
	case ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		c.Add(path, CodeBadAddress, "address %v is not a unicast address", a)
	case ip.Is4In6():
		// Packets carry IPv4 addresses in this form, so both would be the same.
		c.Add(path, CodeBadAddress, "address %v must be written as IPv4", a)
	case ip.Zone() != "":
		c.Add(path, CodeBadAddress, "address %v has a scope, which packets don't carry", a)
	}
}

// Range checks that n is between low and high.
func (c *Checker) Range(path string, n, low, high int) {
	Between(c, path, n, low, high)
}

// Between checks that x is between low and high, for any ordered type.
func Between[T cmp.Ordered](c *Checker, path string, x, low, high T) {
	if !(x >= low && x <= high) {
		c.Add(path, CodeOutOfRange, "%v is not between %v and %v", x, low, high)
	}
}

// Path joins the path of a list's element with a field, such as Targets[2].Agent.
func Path(slice string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", slice, i)
	}

	return fmt.Sprintf("%s[%d].%s", slice, i, field)
}
