package amrconfig_test

import (
	"context"

	"github.com/jonboulle/clockwork"

	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrplatform"
)

// clock is the real clock, which in a synctest bubble shows the fake time.
var clock = clockwork.NewRealClock()

// cutOffPlatform is the platform as seen by one member of a fleet. While the
// member is cut off, the calls that a Follower makes fail. It counts the reads
// of the head by all members.
type cutOffPlatform struct {
	*amrmemory.Platform
	member *member
	fleet  *fleet
}

func (p cutOffPlatform) Get(ctx context.Context, key string) (amrplatform.Item, error) {
	if err := p.checkReachable(); err != nil {
		return amrplatform.Item{}, err
	}
	if key == "config/head" {
		p.fleet.headReads.Add(1)
	}
	return p.Platform.Get(ctx, key)
}

func (p cutOffPlatform) Scan(ctx context.Context, prefix, after string, limit int) ([]amrplatform.Item, error) {
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	return p.Platform.Scan(ctx, prefix, after, limit)
}

func (p cutOffPlatform) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	return p.Platform.GetObject(ctx, key)
}

// checkReachable returns an error of kind Unavailable while the member is cut
// off.
func (p cutOffPlatform) checkReachable() error {
	if p.fleet.isCutOff(p.member.peer.Name) {
		return amrplatform.Unavailable.New("the platform does not answer")
	}
	return nil
}
