package amraudit

// Chain verifies entries one after the other. The zero value stands before the
// first entry.
type Chain struct {
	Revision uint64 // Of the last entry.
	Digest   string // Of the last entry.
}

// With returns the chain after the entry, or an error of kind Gap or Edited.
func (c Chain) With(e Entry) (Chain, error) {
	if err := e.verify(c); err != nil {
		return c, err
	}
	return Chain{Revision: e.Revision, Digest: e.Digest}, nil
}

// End checks that the chain ends with the entry that the head names.
func (c Chain) End(revision uint64, digest string) error {
	if c.Revision != revision {
		return Gap.New("the trail ends at entry %d and the head stands at %d; restore the entries from a backup", c.Revision, revision)
	}
	if c.Digest != digest {
		return Edited.New("the head does not name entry %d as the last; compare both with a backup", revision)
	}
	return nil
}
