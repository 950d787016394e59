package amrsettings

import (
	"reflect"
	"strings"
)

// Keys returns the paths of all keys of settings, which must be a struct with
// yaml tags, a slice of such structs, or a pointer to one of these. The path of a
// key in a nested struct is the path of the struct and the key, separated by a
// dot.
func Keys(settings any) []string {
	return keysOf("", reflect.Indirect(reflect.ValueOf(settings)).Type())
}

// keysOf returns the paths of the keys of the type, each with the prefix.
func keysOf(prefix string, t reflect.Type) []string {
	if t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		return keysOf(prefix, t.Elem())
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		keys = append(keys, prefix+name)
		keys = append(keys, keysOf(prefix+name+".", field.Type)...)
	}
	return keys
}
