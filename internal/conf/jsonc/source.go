// Package jsonc decodes JSON with comments strictly into structs and reports
// every fault at once, each with its line and field.
package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a decoded document. It finds the lines of fields for checks that
// run after decoding.
type Document struct {
	file string
	data []byte
	// lines maps each field path that the document holds to its line.
	lines  map[string]int
	faults Faults
}

// Decode reads data into v, a pointer to a struct. Unknown and repeated fields
// and wrong types become faults; what could be read is in v all the same.
func Decode(file string, data []byte, v any) *Document {
	s := &Document{file: file, data: data, lines: map[string]int{}}
	value, err := hujson.Parse(data)
	if err != nil {
		s.faults = append(s.faults, Fault{file, s.errorLine(err), "", err.Error()})
		return s
	}
	s.decode(value, reflect.ValueOf(v).Elem(), "")
	return s
}

// Add records a fault in a field, found by a check after decoding.
func (s *Document) Add(field, format string, args ...any) {
	s.faults = append(s.faults, Fault{s.file, s.line(field), field, fmt.Sprintf(format, args...)})
}

// Has reports whether the document holds the field.
func (s *Document) Has(field string) bool {
	_, ok := s.lines[field]
	return ok
}

// Faults returns the faults found so far, by line.
func (s *Document) Faults() Faults {
	slices.SortStableFunc(s.faults, func(a, b Fault) int { return a.Line - b.Line })
	return s.faults
}

// line returns the line of a field, or of the nearest one around it.
func (s *Document) line(field string) int {
	for {
		if n, ok := s.lines[field]; ok {
			return n
		}
		i := strings.LastIndexByte(field, '.')
		if i < 0 {
			return 1
		}
		field = field[:i]
	}
}

func (s *Document) errorLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 1
	}
	return line
}

func (s *Document) decode(value hujson.Value, into reflect.Value, path string) {
	s.lines[path] = 1 + bytes.Count(s.data[:value.StartOffset], []byte("\n"))
	if into.CanAddr() {
		_, text := into.Addr().Interface().(encoding.TextUnmarshaler)
		if text {
			s.literal(value, into, path)
			return
		}
	}
	switch into.Kind() {
	case reflect.Struct:
		s.object(value, into, path)
	case reflect.Map:
		s.mapping(value, into, path)
	case reflect.Slice:
		s.array(value, into, path)
	default:
		s.literal(value, into, path)
	}
}

func (s *Document) literal(value hujson.Value, into reflect.Value, path string) {
	value = value.Clone()
	value.Standardize()
	target := reflect.New(into.Type())
	if err := json.Unmarshal(bytes.TrimSpace(value.Pack()), target.Interface()); err != nil {
		s.Add(path, "%s", reason(err))
		return
	}
	into.Set(target.Elem())
}

func reason(err error) string {
	if e, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("want %s, got %s", e.Type, e.Value)
	}
	return err.Error()
}

func (s *Document) object(value hujson.Value, into reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.Add(path, "want an object")
		return
	}
	fields := structFields(into.Type())
	s.members(object, path, func(name, at string, member hujson.Value) {
		i, known := fields[name]
		if !known {
			s.lines[at] = 1 + bytes.Count(s.data[:member.StartOffset], []byte("\n"))
			s.Add(at, "unknown field")
			return
		}
		s.decode(member, into.Field(i), at)
	})
}

func structFields(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func (s *Document) members(object *hujson.Object, path string, visit func(name, at string, member hujson.Value)) {
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		if seen[name] {
			s.Add(at, "field stands twice")
			continue
		}
		seen[name] = true
		visit(name, at, member.Value)
	}
}

func (s *Document) mapping(value hujson.Value, into reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.Add(path, "want an object")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	s.members(object, path, func(name, at string, member hujson.Value) {
		element := reflect.New(into.Type().Elem()).Elem()
		s.decode(member, element, at)
		into.SetMapIndex(reflect.ValueOf(name), element)
	})
}

func (s *Document) array(value hujson.Value, into reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		s.Add(path, "want an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		s.decode(element, into.Index(i), fmt.Sprintf("%s.%d", path, i))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
