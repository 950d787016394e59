package amrsidecar

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"amaranthreach.example/core/amrcache"
	"amaranthreach.example/core/amrhttp"
	"amaranthreach.example/core/amrprompt"
)

const (
	eventsWait     = 5 * time.Second        // Time that the engine may wait for events before it answers a poll.
	eventsPause    = 20 * time.Millisecond  // Pause between successful polls.
	eventsRetry    = 500 * time.Millisecond // Pause after a failed poll.
	maxEventsBytes = 4 << 20                // Limit on the size of one response.
)

// engineObserver receives the state and the cache events of an engine.
type engineObserver interface {
	// observeState is called after each poll of the engine's status, and when
	// a connection to the engine fails.
	observeState(s backendState)

	// applyEvents applies cache events and returns the sequence number of the
	// last event that has been applied.
	applyEvents(incarnation string, events []amrcache.Event) uint64
}

// cacheEvents is the engine's answer to a poll for cache events.
type cacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []cacheEvent `json:"events"`
}

// cacheEvent is one cache event; the key is in hexadecimal digits.
type cacheEvent struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	Key  string `json:"key"`
}

// followEvents polls the engine for cache events and passes them to the observer
// until ctx is done.
func (e *engine) followEvents(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		pause := eventsPause
		reply, err := e.fetchEvents(ctx, after)
		if err != nil {
			pause = eventsRetry
		} else {
			after = e.observer.applyEvents(reply.Incarnation, reply.events())
		}
		select {
		case <-ctx.Done():
		case <-e.clock.After(pause):
		}
	}
	return nil
}

// fetchEvents returns the cache events whose sequence numbers are above after. The
// engine may delay its answer by eventsWait if there are none.
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
		return cacheEvents{}, errBadStatus
	}
	var reply cacheEvents
	err = amrhttp.DecodeJSON(response.Body, maxEventsBytes, &reply)
	return reply, err
}

// events decodes the events of the reply. It leaves out events whose key is
// malformed or missing; only an event that clears the cache has no key.
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
