package amrsidecar

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"amaranthreach.example/core/amrcache"
	"amaranthreach.example/core/amrprompt"
)

const (
	eventsWait     = 5 * time.Second // How long the engine may hold a poll.
	eventsPause    = 20 * time.Millisecond
	eventsRetry    = 500 * time.Millisecond
	maxEventsBytes = 4 << 20
)

// engineObserver follows what an engine reports.
type engineObserver interface {
	observe(s backendState)

	// apply takes cache events and returns the number of the last one known.
	apply(incarnation string, events []amrcache.Event) uint64
}

type cacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []cacheEvent `json:"events"`
}

type cacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	Key  string `json:"key"`
}

// followEvents passes on the engine's cache events until ctx is done.
func (e *engine) followEvents(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		pause := eventsPause
		reply, err := e.fetchEvents(ctx, after)
		if err != nil {
			pause = eventsRetry
		} else {
			after = e.observer.apply(reply.Incarnation, reply.events())
		}
		select {
		case <-ctx.Done():
		case <-e.clock.After(pause):
		}
	}
	return nil
}

func (e *engine) fetchEvents(ctx context.Context, after uint64) (cacheEvents, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsWait+statusTimeout)
	defer cancel()
	url := fmt.Sprintf("%s/v1/cache/events?after=%d&wait=%s", e.url, after, eventsWait)
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return cacheEvents{}, err
	}
	response, err := e.client.Do(get)
	if err != nil {
		return cacheEvents{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return cacheEvents{}, errNotReady
	}
	var reply cacheEvents
	err = json.NewDecoder(io.LimitReader(response.Body, maxEventsBytes)).Decode(&reply)
	return reply, err
}

// events returns the events of the reply without those that make no sense.
func (c cacheEvents) events() []amrcache.Event {
	events := make([]amrcache.Event, 0, len(c.Events))
	for _, e := range c.Events {
		event := amrcache.Event{Seq: e.Seq, Kind: amrcache.EventKind(e.Kind)}
		key, err := hex.DecodeString(e.Key)
		if err != nil || len(key) != len(amrprompt.Key{}) && event.Kind != amrcache.Cleared {
			continue
		}
		copy(event.Key[:], key)
		events = append(events, event)
	}
	return events
}
