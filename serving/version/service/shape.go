package service

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxDepth is the deepest nesting of a service file.
const maxDepth = 16

// object is a JSON object whose repeated fields are kept.
type object struct {
	fields   map[string]any
	repeated []string
}

// readTree reads one JSON value. Objects become *object, arrays []any, numbers json.Number.
func readTree(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	tree, err := readValue(decoder, 0)
	if err != nil {
		return nil, errors.Wrapf(err, "at byte %d", decoder.InputOffset())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.Errorf("at byte %d: more text behind the value", decoder.InputOffset())
	}
	return tree, nil
}

func readValue(decoder *json.Decoder, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.Errorf("nested deeper than %d", maxDepth)
	}
	token, err := decoder.Token()
	if err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return readObject(decoder, depth)
	case json.Delim('['):
		return readArray(decoder, depth)
	}
	return token, nil
}

func readObject(decoder *json.Decoder, depth int) (any, error) {
	result := &object{fields: map[string]any{}}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, errors.New("field name is not text")
		}
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		if _, seen := result.fields[name]; seen {
			result.repeated = append(result.repeated, name)
		}
		result.fields[name] = value
	}
	_, err := decoder.Token()
	return result, err
}

func readArray(decoder *json.Decoder, depth int) (any, error) {
	result := []any{}
	for decoder.More() {
		value, err := readValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		result = append(result, value)
	}
	_, err := decoder.Token()
	return result, err
}

// shape compares a tree with a Go type and collects faults of unknown and repeated
// fields and of values of another type.
type shape struct {
	file   string
	faults []Fault
}

func (s *shape) refuse(field string, value any, allowed string) {
	s.faults = append(s.faults, Fault{s.file, field, render(value), allowed})
}

func (s *shape) compare(field string, value any, want reflect.Type) {
	switch want.Kind() {
	case reflect.Pointer:
		s.compare(field, value, want.Elem())
	case reflect.Struct:
		s.compareObject(field, value, want)
	case reflect.Slice:
		s.compareArray(field, value, want)
	default:
		s.compareScalar(field, value, want)
	}
}

func (s *shape) compareObject(field string, value any, want reflect.Type) {
	got, ok := value.(*object)
	if !ok {
		s.refuse(field, value, "an object")
		return
	}
	known := map[string]reflect.Type{}
	names := []string{}
	for i := range want.NumField() {
		name, _, _ := strings.Cut(want.Field(i).Tag.Get("json"), ",")
		known[name] = want.Field(i).Type
		names = append(names, name)
	}
	for _, name := range got.repeated {
		s.refuse(join(field, name), got.fields[name], "one value, not several")
	}
	present := make([]string, 0, len(got.fields))
	for name := range got.fields {
		present = append(present, name)
	}
	sort.Strings(present)
	for _, name := range present {
		member, ok := known[name]
		if !ok {
			s.refuse(join(field, name), got.fields[name], "no such field, but "+strings.Join(names, ", "))
			continue
		}
		s.compare(join(field, name), got.fields[name], member)
	}
}

func (s *shape) compareArray(field string, value any, want reflect.Type) {
	got, ok := value.([]any)
	if !ok {
		s.refuse(field, value, "a list")
		return
	}
	for i, element := range got {
		s.compare(field+"["+strconv.Itoa(i)+"]", element, want.Elem())
	}
}

func (s *shape) compareScalar(field string, value any, want reflect.Type) {
	switch want.Kind() {
	case reflect.String:
		if _, ok := value.(string); !ok {
			s.refuse(field, value, "a text")
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			s.refuse(field, value, "true or false")
		}
	case reflect.Float64:
		if number, ok := value.(json.Number); !ok || !isFloat(number) {
			s.refuse(field, value, "a number")
		}
	default:
		if number, ok := value.(json.Number); !ok || !isInteger(number) {
			s.refuse(field, value, "a whole number")
		}
	}
}

func isFloat(number json.Number) bool {
	_, err := number.Float64()
	return err == nil
}

func isInteger(number json.Number) bool {
	_, err := number.Int64()
	return err == nil
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// render returns a value of a tree as short JSON.
func render(value any) string {
	switch value := value.(type) {
	case *object:
		return "an object"
	case []any:
		return "a list"
	default:
		text, _ := json.Marshal(value)
		return shorten(string(text))
	}
}
