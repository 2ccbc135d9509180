package document

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// MaxProblems bounds the number of problems that one document reports.
const MaxProblems = 1000

// Code is a stable reason code, used as a label of counters.
type Code string

// Reason codes of problems.
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

// Problem is one reason why a document is refused.
type Problem struct {
	// Line counts from 1.
	Line int
	// Field is the path of the field, such as Targets[2].Agent. It is empty if
	// the problem concerns the document as a whole.
	Field string
	// Reason says what is wrong, for people.
	Reason string
	// Code says what is wrong, for counters.
	Code Code
	// Warning marks what needs attention but does not refuse the document.
	Warning bool
}

// String formats a problem as line, field and reason.
func (p Problem) String() string {
	f := p.Field
	if f == "" {
		f = "document"
	}

	return fmt.Sprintf("%d: %s: %s", p.Line, f, p.Reason)
}

// Error carries all problems of a refused document.
type Error struct {
	// Kind is the sentinel error that errors.Is finds.
	Kind     error
	Problems []Problem
}

// NewError returns an error of a kind with its problems, or nil if there are none.
func NewError(kind error, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}

	return &Error{
		Kind:     kind,
		Problems: problems,
	}
}

// Error names the first problem and counts the others.
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

// Problems returns the problems that err carries, or nil.
func Problems(err error) []Problem {
	var e *Error
	if !errors.As(err, &e) {
		return nil
	}

	return e.Problems
}

// list collects problems up to MaxProblems.
type list struct {
	problems []Problem
}

// full reports whether further problems are not listed.
func (l *list) full() bool {
	return len(l.problems) > MaxProblems
}

func (l *list) add(p Problem) {
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
