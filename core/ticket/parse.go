package ticket

import (
	"ibisfold.example/core/document"
)

// SetDefaults sets InService, which is true unless a ticket says otherwise.
func (z *Zone) SetDefaults() {
	z.InService = true
}

// Parse reads and checks a ticket. Acceptance depends on the text alone, so
// that all nodes agree on it. Errors: ErrInvalid, ErrTooLong, both as a
// *document.Error that carries all problems.
func Parse(text []byte) (*Ticket, error) {
	t, _, problems := Read(text)
	if err := document.NewError(kindOf(problems), problems); err != nil {
		return nil, err
	}

	return t, nil
}

func kindOf(problems []document.Problem) error {
	if len(problems) > 0 && problems[0].Code == document.CodeTooLong {
		return ErrTooLong
	}

	return ErrInvalid
}

// Read reads and checks a ticket like Parse, and returns what it could decode
// together with the document that locates the fields. The document is nil if
// the text is not YAML.
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
