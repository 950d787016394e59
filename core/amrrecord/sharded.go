package amrrecord

import (
	"maps"
	"reflect"

	"github.com/zeebo/xxh3"
)

// shardCount is the number of shards of a shardedMap. A modified copy of a map
// shares all shards but the modified ones with the original.
const shardCount = 256

// shardedMap is an immutable hash map that is divided into shards. A map that
// was derived from another one shares with it the shards that were not
// modified. The zero value is an empty map.
type shardedMap[V any] struct {
	shards *[shardCount]map[string]V
}

func (m shardedMap[V]) get(key string) (V, bool) {
	if m.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := m.shards[shardIndex(key)][key]
	return v, ok
}

// all calls yield for each entry, in no particular order, until yield returns
// false.
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

// builder returns a builder that starts with the entries of m.
func (m shardedMap[V]) builder() *shardedMapBuilder[V] {
	b := &shardedMapBuilder[V]{}
	if m.shards != nil {
		b.shards = *m.shards
	}
	return b
}

// shardedMapBuilder builds a modified copy of a shardedMap. It copies a shard
// before the first write to it.
type shardedMapBuilder[V any] struct {
	shards [shardCount]map[string]V
	copied [shardCount]bool
}

func (b *shardedMapBuilder[V]) get(key string) (V, bool) {
	v, ok := b.shards[shardIndex(key)][key]
	return v, ok
}

func (b *shardedMapBuilder[V]) put(key string, v V) {
	b.writableShard(key)[key] = v
}

func (b *shardedMapBuilder[V]) remove(key string) {
	if _, ok := b.get(key); ok {
		delete(b.writableShard(key), key)
	}
}

// build returns the modified map. The builder must not be used afterwards.
func (b *shardedMapBuilder[V]) build() shardedMap[V] {
	return shardedMap[V]{&b.shards}
}

// writableShard returns the shard of the key, which the builder owns.
func (b *shardedMapBuilder[V]) writableShard(key string) map[string]V {
	i := shardIndex(key)
	if !b.copied[i] {
		b.copied[i] = true
		b.shards[i] = maps.Clone(b.shards[i])
	}
	if b.shards[i] == nil {
		b.shards[i] = map[string]V{}
	}
	return b.shards[i]
}

func shardIndex(key string) int {
	return int(xxh3.HashString(key) % shardCount)
}

// diffKeys returns the keys that are in only one of the maps or that have
// different values in them, in no particular order.
func (m shardedMap[V]) diffKeys(old shardedMap[V], equal func(a, b V) bool) []string {
	var keys []string
	for i := range shardCount {
		before, now := old.shard(i), m.shard(i)
		if isSameMap(before, now) {
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

// isSameMap reports whether a and b are the same map object.
func isSameMap[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}
