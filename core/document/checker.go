package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unicode"
)

// MaxNameBytes is the maximum length of an object's name, in bytes.
const MaxNameBytes = 64

// Checker collects the problems of a document: those found while decoding it
// and those of its values. To avoid follow-up errors, it ignores value problems
// of fields that could not be decoded, and all value problems if a part of the
// text is not YAML.
type Checker struct {
	document    *Document
	problemList problemList
	// failed holds the paths of the fields that could not be decoded. The empty
	// path stands for a problem of the text itself.
	failed map[string]bool
}

// NewChecker returns a checker that starts with the problems that Decode found.
func NewChecker(d *Document, problems []Problem) *Checker {
	c := &Checker{
		document: d,
		problemList: problemList{
			problems: problems,
		},
		failed: map[string]bool{},
	}
	for _, p := range problems {
		c.failed[p.Field] = true
	}

	return c
}

// Problems returns all problems found so far, sorted by line.
func (c *Checker) Problems() []Problem {
	slices.SortStableFunc(c.problemList.problems, func(a, b Problem) int {
		return cmp.Compare(a.Line, b.Line)
	})

	return c.problemList.problems
}

// Decoded reports whether the whole document was decoded. Checks that compare
// several fields give misleading results otherwise.
func (c *Checker) Decoded() bool {
	return len(c.failed) == 0
}

// Add records a problem of the field at path, unless that field could not be
// decoded or the list of problems is full.
func (c *Checker) Add(path string, code Code, format string, args ...any) {
	if c.undecoded(path) || c.problemList.full() {
		return
	}

	c.problemList.add(Problem{
		Line:   c.document.Line(path),
		Field:  path,
		Reason: fmt.Sprintf(format, args...),
		Code:   code,
	})
}

// undecoded reports whether the field at path, or a field that contains it,
// could not be decoded.
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

// Name checks that s is a valid name: not empty, at most MaxNameBytes long,
// printable, and without leading or trailing white space.
func (c *Checker) Name(path, s string) {
	switch {
	case s == "":
		c.Add(path, CodeMissing, "name is missing")
	case len(s) > MaxNameBytes:
		c.Add(path, CodeBadName, "name is longer than %d bytes", MaxNameBytes)
	case strings.ContainsFunc(s, isUnprintable) || strings.TrimSpace(s) != s:
		c.Add(path, CodeBadName, "name %s is not printable or begins or ends with a space", quote(s))
	}
}

func isUnprintable(r rune) bool {
	return !unicode.IsPrint(r)
}

// Address checks that a is a unicast address with a port, in a form that
// packets can carry.
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
		// Packets carry every IPv4 address as an IPv4-mapped IPv6 address, so the
		// two notations would denote the same address.
		c.Add(path, CodeBadAddress, "address %v must be written as IPv4", a)
	case ip.Zone() != "":
		c.Add(path, CodeBadAddress, "address %v has a scope, which packets don't carry", a)
	}
}

// Range checks that n is between low and high, both inclusive.
func (c *Checker) Range(path string, n, low, high int) {
	Between(c, path, n, low, high)
}

// Between checks that x is between low and high, both inclusive. NaN is never
// in range.
func Between[T cmp.Ordered](c *Checker, path string, x, low, high T) {
	if !(x >= low && x <= high) {
		c.Add(path, CodeOutOfRange, "%v is not between %v and %v", x, low, high)
	}
}

// Path returns the path of a field of a list element, such as Targets[2].Agent,
// or of the element itself if field is empty.
func Path(slice string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", slice, i)
	}

	return fmt.Sprintf("%s[%d].%s", slice, i, field)
}
