package ticket

type rawZone struct {
	Name      string `yaml:"Name"`
	InService *bool  `yaml:"InService"`
}

// UnmarshalYAML reads a zone; InService defaults to true.
func (z *Zone) UnmarshalYAML(f func(any) error) error {
	r := rawZone{}
	if err := f(&r); err != nil {
		return err
	}

	z.Name = r.Name
	z.InService = r.InService == nil || *r.InService

	return nil
}
