// Package jsonc decodes JSON with comments into structs. Decoding is strict and
// reports all faults at once, each with its line and field.
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

// Document is a decoded document. It keeps the line of each field, so that later
// checks of the values can report faults with their lines.
type Document struct {
	file string
	data []byte
	// lines maps each field path that the document holds to its line.
	lines  map[string]int
	faults Faults
	// unreported is the number of faults beyond maxFaults.
	unreported int
}

// Decode decodes data into v, a pointer to a struct. Unknown and repeated fields and
// values of the wrong type become faults and are skipped; all other fields are set.
// After a syntax error, no field is set.
func Decode(file string, data []byte, v any) *Document {
	d := &Document{file: file, data: data, lines: map[string]int{}}
	if s := measure(data); s.values > maxValues || s.depth > maxDepth {
		d.faults = append(d.faults, Fault{file, 1, "", fmt.Sprintf("want at most %d values, nested at most %d deep", maxValues, maxDepth)})
		return d
	}
	value, err := hujson.Parse(data)
	if err != nil {
		d.faults = append(d.faults, Fault{file, d.errorLine(err), "", err.Error()})
		return d
	}
	d.decode(value, reflect.ValueOf(v).Elem(), "")
	return d
}

// Add records a fault in a field. format and args make up the reason.
func (d *Document) Add(field, format string, args ...any) {
	if len(d.faults) >= maxFaults {
		d.unreported++
		return
	}
	d.faults = append(d.faults, Fault{d.file, d.lineOf(field), field, fmt.Sprintf(format, args...)})
}

// Has reports whether the document contains the field.
func (d *Document) Has(field string) bool {
	_, ok := d.lines[field]
	return ok
}

// Faulty reports whether a fault in the field was recorded.
func (d *Document) Faulty(field string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Field == field })
}

// Faults returns the faults found so far, sorted by line. If there are very many, the last one says
// how many it leaves out.
func (d *Document) Faults() Faults {
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	if d.unreported > 0 {
		return append(d.faults[:len(d.faults):len(d.faults)], Fault{d.file, 0, "", fmt.Sprintf("%d further faults", d.unreported)})
	}
	return d.faults
}

// lineOf returns the line of a field, or that of the nearest enclosing field which the
// document contains.
func (d *Document) lineOf(field string) int {
	for {
		if n, ok := d.lines[field]; ok {
			return n
		}
		i := strings.LastIndexByte(field, '.')
		if i < 0 {
			return 1
		}
		field = field[:i]
	}
}

// errorLine returns the line that a syntax error of hujson names, or 1.
func (d *Document) errorLine(err error) int {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 1
	}
	return line
}

// decode decodes value into dst according to dst's type.
func (d *Document) decode(value hujson.Value, dst reflect.Value, path string) {
	d.lines[path] = 1 + bytes.Count(d.data[:value.StartOffset], []byte("\n"))
	if dst.CanAddr() {
		_, isText := dst.Addr().Interface().(encoding.TextUnmarshaler)
		if isText {
			d.literal(value, dst, path)
			return
		}
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.object(value, dst, path)
	case reflect.Map:
		d.mapping(value, dst, path)
	case reflect.Slice:
		d.array(value, dst, path)
	default:
		d.literal(value, dst, path)
	}
}

// literal decodes a value without fields of its own, such as a number or a string.
func (d *Document) literal(value hujson.Value, dst reflect.Value, path string) {
	value = value.Clone()
	value.Standardize()
	target := reflect.New(dst.Type())
	if err := json.Unmarshal(bytes.TrimSpace(value.Pack()), target.Interface()); err != nil {
		d.Add(path, "%s", errorReason(err))
		return
	}
	dst.Set(target.Elem())
}

// errorReason returns the text of a decoding error. A type error is worded like other
// faults, as "want X, got Y".
func errorReason(err error) string {
	if e, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("want %s, got %s", e.Type, e.Value)
	}
	return err.Error()
}

// object decodes an object into a struct.
func (d *Document) object(value hujson.Value, dst reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.Add(path, "want an object")
		return
	}
	fields := structFields(dst.Type())
	d.visitMembers(object, path, func(name, memberPath string, member hujson.Value) {
		i, known := fields[name]
		if !known {
			d.lines[memberPath] = 1 + bytes.Count(d.data[:member.StartOffset], []byte("\n"))
			d.Add(memberPath, "unknown field")
			return
		}
		d.decode(member, dst.Field(i), memberPath)
	})
}

// structFields returns the index of each field of t by its JSON name.
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

// visitMembers calls visit for each member of an object and reports repeated ones.
func (d *Document) visitMembers(object *hujson.Object, path string, visit func(name, memberPath string, member hujson.Value)) {
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := join(path, name)
		if seen[name] {
			d.Add(memberPath, "field stands twice")
			continue
		}
		seen[name] = true
		visit(name, memberPath, member.Value)
	}
}

// mapping decodes an object into a map.
func (d *Document) mapping(value hujson.Value, dst reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.Add(path, "want an object")
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	d.visitMembers(object, path, func(name, memberPath string, member hujson.Value) {
		element := reflect.New(dst.Type().Elem()).Elem()
		d.decode(member, element, memberPath)
		dst.SetMapIndex(reflect.ValueOf(name), element)
	})
}

// array decodes an array into a slice.
func (d *Document) array(value hujson.Value, dst reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.Add(path, "want an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(element, dst.Index(i), fmt.Sprintf("%s.%d", path, i))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
