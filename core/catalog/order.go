package catalog

// Supersedes reports whether c takes the place of another configuration in force. It is the only
// place that orders configurations.
//
// Within an era the later write wins, whatever its number. A listing of a later era may be that
// of an older copy, which must not take a process back, so the number decides: operators write
// again what the copy lacks. With equal numbers the later era wins: operators may use the number
// of a lost version for another content. If a position is not known, the number decides.
func (c *Config) Supersedes(o *Config) bool {
	p, q := c.Written, o.Written
	switch {
	case !p.isKnown() || !q.isKnown():
		return c.Version > o.Version || c.Version == o.Version && p.isKnown() && !q.isKnown()
	case p.Era > q.Era:
		return c.EraCertain || c.Version >= o.Version
	case p.Era < q.Era:
		return c.Version > o.Version && !o.EraCertain
	case p.Revision != q.Revision:
		return p.Revision > q.Revision
	case c.Version != o.Version:
		// A position is that of one write. An answer that came while the store returned from a
		// copy may have told the era of before.
		return c.Version > o.Version
	default:
		return c.EraCertain && !o.EraCertain
	}
}

// isKnown reports whether p is a position of a write: revisions start above zero.
func (p Position) isKnown() bool {
	return p.Revision > 0
}
