package amrconfig_test

import (
	"context"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
)

// clock is the fake clock of the bubble that a test runs in.
var clock = clockwork.NewRealClock()

// cutPlatform is the platform as a member sees it that may be cut off.
type cutPlatform struct {
	*amrmemory.Platform
	member *member
	fleet  *fleet
}

func (p cutPlatform) Get(ctx context.Context, key string) (amrplatform.Item, error) {
	if err := p.reach(); err != nil {
		return amrplatform.Item{}, err
	}
	if key == "config/head" {
		p.fleet.headReads.Add(1)
	}
	return p.Platform.Get(ctx, key)
}

func (p cutPlatform) Scan(ctx context.Context, prefix, after string, limit int) ([]amrplatform.Item, error) {
	if err := p.reach(); err != nil {
		return nil, err
	}
	return p.Platform.Scan(ctx, prefix, after, limit)
}

func (p cutPlatform) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := p.reach(); err != nil {
		return nil, err
	}
	return p.Platform.GetObject(ctx, key)
}

func (p cutPlatform) reach() error {
	if p.fleet.isCut(p.member.peer.Name) {
		return amrplatform.Unavailable.New("the platform does not answer")
	}
	return nil
}
