package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth bounds the nesting of JSON values, so that a malicious file cannot
// exhaust the stack.
const maxDepth = 32

var (
	errTooDeep  = errors.New("nested too deeply")
	errTrailing = errors.New("data after the document")
)

type member struct {
	name  string
	value any
}

// object holds members in file order, repeated names included; encoding/json
// would drop them.
type object []member

func parse(data []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	v, err := parseValue(dec, 0)
	if err != nil {
		return nil, fmt.Errorf("byte %d: %w", dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("byte %d: %w", dec.InputOffset(), errTrailing)
	}
	return v, nil
}

func parseValue(dec *json.Decoder, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	tok, err := dec.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	switch tok {
	case json.Delim('{'):
		return parseObject(dec, depth)
	case json.Delim('['):
		return parseArray(dec, depth)
	}
	return tok, nil
}

func parseObject(dec *json.Decoder, depth int) (any, error) {
	obj := object{}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		v, err := parseValue(dec, depth+1)
		if err != nil {
			return nil, err
		}
		obj = append(obj, member{name: name.(string), value: v})
	}
	_, err := dec.Token()
	return obj, err
}

func parseArray(dec *json.Decoder, depth int) (any, error) {
	list := []any{}
	for dec.More() {
		v, err := parseValue(dec, depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := dec.Token()
	return list, err
}
