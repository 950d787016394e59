package amraudit

// Chain verifies a sequence of entries. It holds the position after the last verified
// entry; the zero value is the position before the first one. It is an immutable
// value.
type Chain struct {
	Revision uint64 // Revision of the last entry.
	Digest   string // Digest of the last entry.
}

// Append verifies the next entry and returns the chain that ends with it. If the entry
// does not follow the chain or was edited, the error is of type Gap or Edited.
func (c Chain) Append(e Entry) (Chain, error) {
	if err := e.verify(c); err != nil {
		return c, err
	}
	return Chain{Revision: e.Revision, Digest: e.Digest}, nil
}

// VerifyEnd checks that the last entry of the chain has the revision and the digest
// that the head of the stored trail names. Otherwise the error is of type Gap or
// Edited.
func (c Chain) VerifyEnd(revision uint64, digest string) error {
	if c.Revision != revision {
		return Gap.New("the trail ends at entry %d and the head stands at %d; restore the entries from a backup", c.Revision, revision)
	}
	if c.Digest != digest {
		return Edited.New("the head does not name entry %d as the last; compare both with a backup", revision)
	}
	return nil
}
