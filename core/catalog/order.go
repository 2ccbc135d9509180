package catalog

// Supersedes reports whether c takes the place of another configuration in force. It is the only
// place that orders configurations.
//
// Within an era the later write wins, whatever its number. A listing of a later era may be that
// of an older copy, which must not take a process back, so the number decides: operators write
// again what the copy lacks. With equal numbers the later era wins: operators may use the number
// of a lost version for another content. If either position is unknown, the number decides.
func (c *Config) Supersedes(o *Config) bool {
	switch era, other := c.Written.Era, o.Written.Era; {
	case era == 0 || other == 0:
		return c.Version > o.Version || c.Version == o.Version && era > other
	case era > other:
		return c.EraCertain || c.Version >= o.Version
	case era < other:
		return c.Version > o.Version && !o.EraCertain
	case c.Written.Revision == o.Written.Revision:
		return c.EraCertain && !o.EraCertain
	default:
		return c.Written.Revision > o.Written.Revision
	}
}
