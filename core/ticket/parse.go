package ticket

import (
	"ibisfold.example/core/document"
)

// SetDefaults implements document.Defaulter: a zone is in service by default.
func (z *Zone) SetDefaults() {
	z.InService = true
}

// Parse decodes and checks a ticket. The result depends on the text alone, so
// that all nodes agree on whether a ticket is valid. Parse returns ErrInvalid or
// ErrTooLong as a *document.Error that carries all problems.
func Parse(text []byte) (*Ticket, error) {
	t, _, problems := Read(text)
	if err := document.NewError(errorKind(problems), problems); err != nil {
		return nil, err
	}

	return t, nil
}

// errorKind returns the sentinel error for a list of problems.
func errorKind(problems []document.Problem) error {
	if len(problems) > 0 && problems[0].Code == document.CodeTooLong {
		return ErrTooLong
	}

	return ErrInvalid
}

// Read decodes and checks a ticket like Parse, but always returns the fields
// that could be decoded, and the document that locates them. The document is nil
// if document.Parse rejects the text.
func Read(text []byte) (*Ticket, *document.Document, []document.Problem) {
	t := &Ticket{
		Text: text,
	}
	d, problems := document.Decode(text, t)
	t.Version = Version{
		Number: t.Number,
		Hash:   textHash(text),
	}
	if d == nil {
		return t, nil, problems
	}

	c := document.NewChecker(d, problems)
	check(c, t)

	return t, d, c.Problems()
}
