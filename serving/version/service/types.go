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

// maxDepth is the maximum nesting depth of a service file.
const maxDepth = 16

// jsonObject is a JSON object that also records repeated fields.
type jsonObject struct {
	fields   map[string]any
	repeated []string
}

// readTree decodes one JSON value. Objects become *jsonObject, arrays []any, numbers
// json.Number.
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
	result := &jsonObject{fields: map[string]any{}}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, errors.New("field name is not a string")
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

// typeChecker checks a tree against a Go type and collects faults: unknown and repeated fields,
// and values of the wrong type.
type typeChecker struct {
	file   string
	faults []Fault
}

func (s *typeChecker) addFault(field string, value any, allowed string) {
	s.faults = append(s.faults, Fault{s.file, field, formatValue(value), allowed})
}

func (s *typeChecker) check(field string, value any, want reflect.Type) {
	switch want.Kind() {
	case reflect.Pointer:
		s.check(field, value, want.Elem())
	case reflect.Struct:
		s.checkObject(field, value, want)
	case reflect.Slice:
		s.checkArray(field, value, want)
	default:
		s.checkScalar(field, value, want)
	}
}

func (s *typeChecker) checkObject(field string, value any, want reflect.Type) {
	got, ok := value.(*jsonObject)
	if !ok {
		s.addFault(field, value, "an object")
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
		s.addFault(joinField(field, name), got.fields[name], "one value, not several")
	}
	present := make([]string, 0, len(got.fields))
	for name := range got.fields {
		present = append(present, name)
	}
	sort.Strings(present)
	for _, name := range present {
		member, ok := known[name]
		if !ok {
			s.addFault(joinField(field, name), got.fields[name], "only the fields "+strings.Join(names, ", "))
			continue
		}
		s.check(joinField(field, name), got.fields[name], member)
	}
}

func (s *typeChecker) checkArray(field string, value any, want reflect.Type) {
	got, ok := value.([]any)
	if !ok {
		s.addFault(field, value, "a list")
		return
	}
	for i, element := range got {
		s.check(field+"["+strconv.Itoa(i)+"]", element, want.Elem())
	}
}

func (s *typeChecker) checkScalar(field string, value any, want reflect.Type) {
	switch want.Kind() {
	case reflect.String:
		if _, ok := value.(string); !ok {
			s.addFault(field, value, "a string")
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			s.addFault(field, value, "true or false")
		}
	case reflect.Float64:
		if number, ok := value.(json.Number); !ok || !isFloat(number) {
			s.addFault(field, value, "a number")
		}
	default:
		if number, ok := value.(json.Number); !ok || !isInteger(number) {
			s.addFault(field, value, "a whole number")
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

func joinField(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// formatValue returns a value of a tree as short JSON.
func formatValue(value any) string {
	switch value := value.(type) {
	case *jsonObject:
		return "an object"
	case []any:
		return "a list"
	default:
		text, _ := json.Marshal(value)
		return truncate(string(text))
	}
}
