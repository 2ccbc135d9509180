package document

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Defaulter is a struct with fields whose default is not the zero value.
type Defaulter interface {
	// SetDefaults is called before the struct's fields are decoded.
	SetDefaults()
}

// Decode decodes text into the struct that v points to and returns all
// problems. With problems, the struct holds the fields that could be decoded.
func Decode(text []byte, v any) (*Document, []Problem) {
	d, problems := Parse(text)
	if len(problems) > 0 {
		return d, problems
	}

	return d, d.Decode(v)
}

// Decode decodes the document into the struct that v points to. Keys are the
// names of fields or of their yaml tags, with exact case.
func (d *Document) Decode(v any) []Problem {
	l := &list{}
	decodeValue(l, d.root, reflect.ValueOf(v).Elem(), nil)

	return l.problems
}

var durationType = reflect.TypeFor[time.Duration]()

func decodeValue(l *list, n ast.Node, v reflect.Value, p *path) {
	if n == nil || n.Type() == ast.NullType {
		l.add(p.problem(n, "value is missing", CodeMissing))

		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		decodeText(l, n, u, p)

		return
	}

	switch {
	case v.Type() == durationType:
		decodeDuration(l, n, v, p)
	case v.Kind() == reflect.Struct:
		decodeStruct(l, n, v, p)
	case v.Kind() == reflect.Slice:
		decodeSlice(l, n, v, p)
	default:
		decodeScalar(l, n, v, p)
	}
}

func decodeStruct(l *list, n ast.Node, v reflect.Value, p *path) {
	if _, ok := n.(ast.MapNode); !ok {
		l.add(p.wrongType(n, "a mapping of fields"))

		return
	}
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}

	known := fieldsOf(v.Type())
	seen := map[string]int{}
	for _, e := range entries(n) {
		key := keyText(e)
		at := tokenLine(e.Key.GetToken())
		child := &path{
			parent: p,
			key:    key,
			line:   at,
		}
		if first, ok := seen[key]; ok {
			l.add(child.problem(nil, fmt.Sprintf("duplicate key, already given in line %d", first), CodeDuplicateKey))

			continue
		}
		seen[key] = at
		index, ok := known[key]
		if !ok {
			l.add(child.problem(nil, "unknown field", CodeUnknownField))

			continue
		}
		decodeValue(l, e.Value, v.FieldByIndex(index), child)
	}
}

// fieldsOf returns the index of each field by its key.
func fieldsOf(t reflect.Type) map[string][]int {
	m := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if f.Anonymous || !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		m[name] = f.Index
	}

	return m
}

func decodeSlice(l *list, n ast.Node, v reflect.Value, p *path) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		l.add(p.wrongType(n, "a list"))

		return
	}

	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, e := range s.Values {
		decodeValue(l, e, v.Index(i), &path{
			parent: p,
			index:  i,
			line:   line(e),
		})
	}
}

// scalarText returns the text of a plain or quoted scalar.
func scalarText(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value, true
	default:
		return joinedText(n)
	}
}

func decodeText(l *list, n ast.Node, u encoding.TextUnmarshaler, p *path) {
	s, ok := scalarText(n)
	if !ok {
		l.add(p.wrongType(n, "an address"))

		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil || s == "" {
		l.add(p.problem(n, fmt.Sprintf("%s is not an address such as 127.0.0.1:80", quote(s)), CodeWrongType))
	}
}

func decodeDuration(l *list, n ast.Node, v reflect.Value, p *path) {
	s, _ := scalarText(n)
	d, err := time.ParseDuration(s)
	if err != nil {
		l.add(p.wrongType(n, "a duration such as 10s"))

		return
	}
	v.SetInt(int64(d))
}

func decodeScalar(l *list, n ast.Node, v reflect.Value, p *path) {
	switch v.Kind() {
	case reflect.String:
		// A plain scalar such as 007 or 1e3 keeps its text in a text field.
		s, ok := scalarText(n)
		if !ok {
			l.add(p.wrongType(n, "text"))

			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			l.add(p.wrongType(n, "true or false"))

			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		decodeInteger(l, n, v, p)
	default:
		l.add(p.problem(n, "field has a type that documents can't hold", CodeWrongType))
	}
}

func decodeInteger(l *list, n ast.Node, v reflect.Value, p *path) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		l.add(p.wrongType(n, "a whole number"))

		return
	}

	var err error
	if v.Kind() == reflect.Uint64 {
		var u uint64
		u, err = strconv.ParseUint(i.Token.Value, 10, 64)
		v.SetUint(u)
	} else {
		var s int64
		s, err = strconv.ParseInt(i.Token.Value, 10, 64)
		v.SetInt(s)
	}
	if err != nil {
		l.add(p.problem(n, fmt.Sprintf("%s is not a decimal whole number in range", quote(i.Token.Value)), CodeWrongType))
	}
}
