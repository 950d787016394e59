package amrexplain

import (
	"context"
	"slices"
	"strings"
	"time"

	"amaranthreach.example/core/amrpack"
	"amaranthreach.example/core/amrreason"
)

const (
	findLimit   = 100  // Maximum number of objects read to find one request.
	searchLimit = 1000 // Number of objects read plus minutes listed after which a search for refusals stops.
)

// Find returns the decision on the request with the id. It looks in memory and then
// in the object store, where it also finds the decisions of other routers. The error
// is of type InvalidID if the id is malformed, and of type NotFound if there is no
// decision.
func (r *Recorder) Find(ctx context.Context, request string) (Decision, error) {
	if d, ok := r.GetRecent(request); ok {
		return d, nil
	}
	id, err := ParseID(request)
	if err != nil {
		return Decision{}, err
	}
	keys, err := r.objects.ListObjects(ctx, id.prefix(), "", findLimit)
	if err != nil {
		return Decision{}, err
	}
	for _, key := range keys {
		decisions, err := r.read(ctx, key)
		if err != nil {
			return Decision{}, err
		}
		for _, d := range decisions {
			if d.RequestID == request {
				return d, nil
			}
		}
	}
	return Decision{}, NotFound.New("no decision is kept for request %s; check the id, or ask again in %s when it is new", request, flushInterval)
}

// RefusalQuery selects refused requests. A field with its zero value does not
// restrict the selection, except for Since and Until: requests must have arrived
// between them. Limit is the maximum number of requests.
type RefusalQuery struct {
	Team       string
	Deployment string
	Reason     amrreason.Code
	Since      time.Time
	Until      time.Time
	Limit      int
}

// matches reports whether the query selects the decision.
func (q RefusalQuery) matches(d Decision) bool {
	return d.Outcome == Refused &&
		(q.Team == "" || q.Team == d.Team) &&
		(q.Deployment == "" || q.Deployment == d.Deployment) &&
		(q.Reason == "" || q.Reason == d.Reason) &&
		!d.At.Before(q.Since) && !d.At.After(q.Until)
}

// Refusals is the result of a query, with the newest request first.
type Refusals struct {
	Decisions []Decision
	Complete  bool // False if there may be more refusals.
}

// FindRefusals returns the refusals that the query selects: those of this router that
// are in memory, and those of all routers that are in the object store. It stops
// reading objects once it has found q.Limit refusals or read too many objects; the
// result is then not complete.
func (r *Recorder) FindRefusals(ctx context.Context, q RefusalQuery) (Refusals, error) {
	found := map[string]Decision{}
	r.mu.Lock()
	r.buffer.eachRecent(func(d Decision) bool {
		if q.matches(d) {
			found[d.RequestID] = d
		}
		return true
	})
	r.mu.Unlock()
	complete, err := r.searchObjects(ctx, q, found)
	if err != nil {
		return Refusals{}, err
	}
	all := make([]Decision, 0, len(found))
	for _, d := range found {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b Decision) int {
		if order := b.At.Compare(a.At); order != 0 {
			return order
		}
		return strings.Compare(a.RequestID, b.RequestID)
	})
	if q.Limit > 0 && len(all) > q.Limit {
		all, complete = all[:q.Limit], false
	}
	return Refusals{Decisions: all, Complete: complete}, nil
}

// searchObjects adds to found the refusals in the object store that the query
// selects, beginning with the newest minute. It reports whether it read all
// objects between Since and Until, rather than stopped at a limit. It reads at most
// searchLimit objects of one minute.
func (r *Recorder) searchObjects(ctx context.Context, q RefusalQuery, found map[string]Decision) (bool, error) {
	objects := 0
	for minute := q.Until.Unix() / 60; minute >= q.Since.Unix()/60; minute-- {
		if objects >= searchLimit || q.Limit > 0 && countAfter(found, minute) >= q.Limit {
			return false, nil
		}
		keys, err := r.objects.ListObjects(ctx, minutePrefix(refusalPrefix, minute), "", searchLimit)
		if err != nil {
			return false, err
		}
		for _, key := range keys {
			decisions, err := r.read(ctx, key)
			if err != nil {
				return false, err
			}
			for _, d := range decisions {
				if q.matches(d) {
					found[d.RequestID] = d
				}
			}
		}
		if len(keys) == searchLimit { // There may be more.
			return false, nil
		}
		objects += len(keys) + 1
	}
	return true, nil
}

// countAfter returns the number of decisions on requests that arrived after the minute.
// Those in memory may be older than what the object store has of other routers.
func countAfter(found map[string]Decision, minute int64) int {
	n := 0
	for _, d := range found {
		if d.At.Unix()/60 > minute {
			n++
		}
	}
	return n
}

// read returns the decisions in the object with the key.
func (r *Recorder) read(ctx context.Context, key string) ([]Decision, error) {
	data, err := r.objects.GetObject(ctx, key)
	if err != nil {
		return nil, err
	}
	var decisions []Decision
	err = amrpack.Unmarshal(data, &decisions)
	return decisions, err
}
