package amrmemory

import (
	"slices"
	"strings"
)

// sortedMap is a map from strings whose keys are kept in sorted order. The zero
// value is an empty map.
type sortedMap[V any] struct {
	values map[string]V
	keys   []string // Sorted.
}

func (m *sortedMap[V]) get(key string) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

func (m *sortedMap[V]) put(key string, v V) {
	if m.values == nil {
		m.values = make(map[string]V)
	}
	if _, ok := m.values[key]; !ok {
		i, _ := slices.BinarySearch(m.keys, key)
		m.keys = slices.Insert(m.keys, i, key)
	}
	m.values[key] = v
}

func (m *sortedMap[V]) remove(key string) {
	if _, ok := m.values[key]; !ok {
		return
	}
	delete(m.values, key)
	i, _ := slices.BinarySearch(m.keys, key)
	m.keys = slices.Delete(m.keys, i, i+1)
}

// after returns, in order, at most limit keys that have the prefix and are
// greater than after. A limit of zero or less means no limit.
func (m *sortedMap[V]) after(prefix, after string, limit int) []string {
	i, _ := slices.BinarySearch(m.keys, max(prefix, after))
	if i < len(m.keys) && m.keys[i] == after {
		i++
	}
	var found []string
	for _, key := range m.keys[i:] {
		if !strings.HasPrefix(key, prefix) || (limit > 0 && len(found) == limit) {
			break
		}
		found = append(found, key)
	}
	return found
}
