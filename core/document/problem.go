package document

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// MaxProblems bounds the number of problems reported for one document, so that
// a hostile document cannot cause an unbounded list.
const MaxProblems = 1000

// Code classifies a problem. Codes are stable, because they label counters.
type Code string

// Codes of problems.
const (
	CodeTooLong         Code = "too_long"
	CodeNotUTF8         Code = "not_utf8"
	CodeNotYAML         Code = "not_yaml"
	CodeManyDocuments   Code = "many_documents"
	CodeAlias           Code = "alias"
	CodeTag             Code = "tag"
	CodeTooDeep         Code = "too_deep"
	CodeTooManyTokens   Code = "too_many_tokens"
	CodeUnknownField    Code = "unknown_field"
	CodeDuplicateKey    Code = "duplicate_key"
	CodeWrongType       Code = "wrong_type"
	CodeMissing         Code = "missing"
	CodeOutOfRange      Code = "out_of_range"
	CodeBadName         Code = "bad_name"
	CodeBadAddress      Code = "bad_address"
	CodeBadURL          Code = "bad_url"
	CodeBadKey          Code = "bad_key"
	CodeBadState        Code = "bad_state"
	CodeDuplicate       Code = "duplicate"
	CodeAddressTaken    Code = "address_taken"
	CodeUnknownObject   Code = "unknown_object"
	CodeNoTarget        Code = "no_target"
	CodeReusedNumber    Code = "reused_number"
	CodeSlowTicket      Code = "slow_ticket"
	CodeNoEffect        Code = "no_effect"
	CodeUnknownDocument Code = "unknown_document"
	CodeTooManyProblems Code = "too_many_problems"
)

// Problem is one reason why a document is refused, or a warning about it.
type Problem struct {
	// Line counts from 1.
	Line int
	// Field is the path of the field, such as Targets[2].Agent. It is empty if
	// the problem concerns the document as a whole.
	Field string
	// Reason describes the problem to a person.
	Reason string
	// Code classifies the problem for counters.
	Code Code
	// Warning is set for a likely mistake that does not make the document
	// invalid.
	Warning bool
}

// String formats a problem as "line: field: reason".
func (p Problem) String() string {
	f := p.Field
	if f == "" {
		f = "document"
	}

	return fmt.Sprintf("%d: %s: %s", p.Line, f, p.Reason)
}

// Error carries all problems of a refused document.
type Error struct {
	// Kind is the sentinel error that errors.Is matches.
	Kind     error
	Problems []Problem
}

// NewError returns an Error of a kind with its problems, or nil if there are no
// problems.
func NewError(kind error, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}

	return &Error{
		Kind:     kind,
		Problems: problems,
	}
}

// Error returns the kind, the first problem and the number of other problems.
func (e *Error) Error() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%v", e.Kind)
	if len(e.Problems) > 0 {
		fmt.Fprintf(b, ": line %v", e.Problems[0])
	}
	if n := len(e.Problems) - 1; n > 0 {
		fmt.Fprintf(b, " (and %d more)", n)
	}

	return b.String()
}

// Unwrap returns the kind.
func (e *Error) Unwrap() error {
	return e.Kind
}

// Problems returns the problems of the Error that err wraps, or nil if it wraps
// none.
func Problems(err error) []Problem {
	var e *Error
	if !errors.As(err, &e) {
		return nil
	}

	return e.Problems
}

// problemList collects up to MaxProblems problems. The first problem beyond the
// limit is replaced by one that says so; later ones are dropped.
type problemList struct {
	problems []Problem
}

// full reports whether add drops further problems.
func (l *problemList) full() bool {
	return len(l.problems) > MaxProblems
}

func (l *problemList) add(p Problem) {
	switch n := len(l.problems); {
	case n < MaxProblems:
		l.problems = append(l.problems, p)
	case n == MaxProblems:
		l.problems = append(l.problems, Problem{
			Line:   p.Line,
			Reason: fmt.Sprintf("more than %d problems; the rest is not listed", MaxProblems),
			Code:   CodeTooManyProblems,
		})
	}
}
