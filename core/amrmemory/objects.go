package amrmemory

import (
	"context"
	"slices"

	"amaranthreach.example/core/amrplatform"
)

// PutObject implements amrplatform.ObjectStore.
func (p *Platform) PutObject(ctx context.Context, key string, data []byte) error {
	return p.write(ctx, func() error {
		p.objects.put(key, slices.Clone(data))
		return nil
	})
}

// GetObject implements amrplatform.ObjectStore.
func (p *Platform) GetObject(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	err := p.read(ctx, func() error {
		found, ok := p.objects.get(key)
		if !ok {
			return amrplatform.NotFound.New("no object has the key %q: check the key", key)
		}
		data = slices.Clone(found)
		return nil
	})
	return data, err
}

// ListObjects implements amrplatform.ObjectStore.
func (p *Platform) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var keys []string
	err := p.read(ctx, func() error {
		keys = p.objects.after(prefix, after, limit)
		return nil
	})
	return keys, err
}

// DeleteObject implements amrplatform.ObjectStore.
func (p *Platform) DeleteObject(ctx context.Context, key string) error {
	return p.write(ctx, func() error {
		p.objects.remove(key)
		return nil
	})
}
