package amrrecord

import (
	"maps"
	"reflect"

	"github.com/zeebo/xxh3"
)

// shardCount is the number of parts of a map. A copy after a change shares all
// parts but the one that changed.
const shardCount = 256

// shardedMap is an immutable map whose copies share what they have in common.
// The zero value is an empty map.
type shardedMap[V any] struct {
	shards *[shardCount]map[string]V
}

func (m shardedMap[V]) get(key string) (V, bool) {
	if m.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := m.shards[shardOf(key)][key]
	return v, ok
}

// all calls yield for each entry, in no order.
func (m shardedMap[V]) all(yield func(string, V) bool) {
	if m.shards == nil {
		return
	}
	for _, shard := range m.shards {
		for key, v := range shard {
			if !yield(key, v) {
				return
			}
		}
	}
}

func (m shardedMap[V]) edit() *shardedEdit[V] {
	e := &shardedEdit[V]{}
	if m.shards != nil {
		e.shards = *m.shards
	}
	return e
}

// shardedEdit gathers changes to a shardedMap. It copies a shard when it first
// writes to it.
type shardedEdit[V any] struct {
	shards [shardCount]map[string]V
	owned  [shardCount]bool
}

func (e *shardedEdit[V]) get(key string) (V, bool) {
	v, ok := e.shards[shardOf(key)][key]
	return v, ok
}

func (e *shardedEdit[V]) put(key string, v V) {
	e.own(key)[key] = v
}

func (e *shardedEdit[V]) remove(key string) {
	if _, ok := e.get(key); ok {
		delete(e.own(key), key)
	}
}

// done returns the changed map. The edit must not be used after it.
func (e *shardedEdit[V]) done() shardedMap[V] {
	return shardedMap[V]{&e.shards}
}

func (e *shardedEdit[V]) own(key string) map[string]V {
	i := shardOf(key)
	if !e.owned[i] {
		e.owned[i] = true
		e.shards[i] = maps.Clone(e.shards[i])
	}
	if e.shards[i] == nil {
		e.shards[i] = map[string]V{}
	}
	return e.shards[i]
}

func shardOf(key string) int {
	return int(xxh3.HashString(key) % shardCount)
}

// changed returns the keys under which m and old hold different values.
func (m shardedMap[V]) changed(old shardedMap[V], equal func(a, b V) bool) []string {
	var keys []string
	for i := range shardCount {
		before, now := old.shard(i), m.shard(i)
		if sameMap(before, now) {
			continue
		}
		for key, v := range now {
			if w, ok := before[key]; !ok || !equal(v, w) {
				keys = append(keys, key)
			}
		}
		for key := range before {
			if _, ok := now[key]; !ok {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

func (m shardedMap[V]) shard(i int) map[string]V {
	if m.shards == nil {
		return nil
	}
	return m.shards[i]
}

// sameMap reports whether a and b are one and the same map.
func sameMap[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
