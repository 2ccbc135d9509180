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

// Defaulter is implemented by structs that have fields with a non-zero default.
type Defaulter interface {
	// SetDefaults is called before the struct's fields are decoded.
	SetDefaults()
}

// Decode parses text and decodes it into the struct that v points to. If there
// are problems, the struct holds the fields that could be decoded. The document
// is nil if Parse rejects the text.
func Decode(text []byte, v any) (*Document, []Problem) {
	d, problems := Parse(text)
	if len(problems) > 0 {
		return d, problems
	}

	return d, d.Decode(v)
}

// Decode decodes the document into the struct that v points to. A key must
// equal the field's yaml tag or, without a tag, the field's name, including
// case.
func (d *Document) Decode(v any) []Problem {
	root := reflect.ValueOf(v).Elem()
	if f, ok := v.(Defaulter); ok {
		f.SetDefaults()
	}
	c := &decoder{}
	fields := newFieldSet(root, nil)
	for i := range d.sections {
		n := &d.sections[i]
		e, p := d.entries(n)
		if p != nil {
			c.add(*p)

			continue
		}
		c.lineOffset = n.head.lineOffset
		for _, m := range e {
			c.decodeEntry(m, fields, n.items)
		}
	}

	return c.problems
}

// decoder decodes the parts of a text one after the other and collects their
// problems.
type decoder struct {
	problemList
	// lineOffset is the number of lines before the current part.
	lineOffset int
}

// fieldSet holds the struct that one mapping is decoded into and tracks which
// of its fields have been decoded.
type fieldSet struct {
	value reflect.Value
	path  *path
	// indexByKey holds the index of each field, as FieldByIndex takes it.
	indexByKey map[string][]int
	// lineByKey holds the line of the first occurrence of each key.
	lineByKey map[string]int
}

func newFieldSet(v reflect.Value, p *path) *fieldSet {
	return &fieldSet{
		value:      v,
		path:       p,
		indexByKey: fieldIndexes(v.Type()),
		lineByKey:  map[string]int{},
	}
}

// decodeEntry decodes one field of a mapping. If items is not empty, it holds
// the field's value, a block sequence that is still to be parsed.
func (c *decoder) decodeEntry(e *ast.MappingValueNode, f *fieldSet, items []part) {
	key := keyText(e)
	p := &path{
		parent: f.path,
		key:    key,
		line:   c.lineOffset + tokenLine(e.Key.GetToken()),
	}
	first, repeated := f.lineByKey[key]
	index, ok := f.indexByKey[key]
	switch {
	case repeated:
		c.add(p.problem(fmt.Sprintf("duplicate key, already given in line %d", first), CodeDuplicateKey))
	case !ok:
		c.add(p.problem("unknown field", CodeUnknownField))
	case len(items) > 0:
		c.decodeItems(items, f.value.FieldByIndex(index), p)
	default:
		c.decodeValue(e.Value, f.value.FieldByIndex(index), p)
	}
	if !repeated {
		f.lineByKey[key] = p.line
	}
}

// decodeItems decodes the items of a block sequence in batches of about
// minBatchBytes.
func (c *decoder) decodeItems(items []part, v reflect.Value, p *path) {
	if v.Kind() != reflect.Slice {
		c.add(p.problem("expected a single value, found a list", CodeWrongType))

		return
	}

	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i := 0; i < len(items); {
		k := i + 1
		for k < len(items) && len(joinParts(items[i], items[k-1]).text) < minBatchBytes {
			k++
		}
		c.decodeBatch(joinParts(items[i], items[k-1]), v.Slice(i, k), i, p)
		i = k
	}
}

// decodeBatch decodes consecutive items, which b holds, into v. The first of
// them has index first in the whole list.
func (c *decoder) decodeBatch(b part, v reflect.Value, first int, p *path) {
	root, problem := parse(b)
	if problem != nil {
		c.add(*problem)

		return
	}
	s, ok := root.(*ast.SequenceNode)
	if !ok || len(s.Values) != v.Len() {
		c.add(Problem{
			Line:   b.lineOffset + 1,
			Reason: "not YAML: entries of the list are not aligned",
			Code:   CodeNotYAML,
		})

		return
	}
	c.lineOffset = b.lineOffset
	c.decodeElements(s, v, first, p)
}

func (c *decoder) decodeElements(s *ast.SequenceNode, v reflect.Value, first int, p *path) {
	for i, e := range s.Values {
		c.decodeValue(e, v.Index(i), &path{
			parent: p,
			index:  first + i,
			line:   c.lineOffset + line(e),
		})
	}
}

var durationType = reflect.TypeFor[time.Duration]()

func (c *decoder) decodeValue(n ast.Node, v reflect.Value, p *path) {
	if isNull(n) {
		c.add(p.problem("value is missing", CodeMissing))

		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		c.decodeText(n, u, p)

		return
	}

	switch {
	case v.Type() == durationType:
		c.decodeDuration(n, v, p)
	case v.Kind() == reflect.Struct:
		c.decodeStruct(n, v, p)
	case v.Kind() == reflect.Slice:
		c.decodeSlice(n, v, p)
	default:
		c.decodeScalar(n, v, p)
	}
}

func (c *decoder) decodeStruct(n ast.Node, v reflect.Value, p *path) {
	if !isMapping(n) {
		c.add(p.wrongType(n, "a mapping of fields"))

		return
	}
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}

	f := newFieldSet(v, p)
	for _, e := range entries(n) {
		c.decodeEntry(e, f, nil)
	}
}

// fieldIndexes returns the index of each exported field of t by its key.
func fieldIndexes(t reflect.Type) map[string][]int {
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

func (c *decoder) decodeSlice(n ast.Node, v reflect.Value, p *path) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		c.add(p.wrongType(n, "a list"))

		return
	}

	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	c.decodeElements(s, v, 0, p)
}

// scalarText returns the text of a plain, quoted or block scalar. It returns
// false for any other node.
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

// decodeText decodes a value that implements encoding.TextUnmarshaler. Its
// problems assume an address with a port.
func (c *decoder) decodeText(n ast.Node, u encoding.TextUnmarshaler, p *path) {
	s, ok := scalarText(n)
	if !ok {
		c.add(p.wrongType(n, "an address"))

		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil || s == "" {
		c.add(p.problem(fmt.Sprintf("%s is not an address such as 127.0.0.1:80", quote(s)), CodeWrongType))
	}
}

func (c *decoder) decodeDuration(n ast.Node, v reflect.Value, p *path) {
	s, _ := scalarText(n)
	d, err := time.ParseDuration(s)
	if err != nil {
		c.add(p.wrongType(n, "a duration such as 10s"))

		return
	}
	v.SetInt(int64(d))
}

func (c *decoder) decodeScalar(n ast.Node, v reflect.Value, p *path) {
	switch v.Kind() {
	case reflect.String:
		// A string field takes the text of any plain scalar unchanged, also that
		// of 007 or 1e3, which YAML would read as numbers.
		s, ok := scalarText(n)
		if !ok {
			c.add(p.wrongType(n, "text"))

			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			c.add(p.wrongType(n, "true or false"))

			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		c.decodeInteger(n, v, p)
	case reflect.Float64:
		c.decodeFloat(n, v, p)
	default:
		c.add(p.problem("field has a type that documents can't hold", CodeWrongType))
	}
}

// decodeFloat decodes a finite number. The infinities and NaN of YAML are
// refused.
func (c *decoder) decodeFloat(n ast.Node, v reflect.Value, p *path) {
	s := ""
	switch n.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		s = n.GetToken().Value
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		c.add(p.wrongType(n, "a decimal number"))

		return
	}
	v.SetFloat(f)
}

func (c *decoder) decodeInteger(n ast.Node, v reflect.Value, p *path) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		c.add(p.wrongType(n, "a whole number"))

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
		c.add(p.problem(fmt.Sprintf("%s is not a decimal whole number in range", quote(i.Token.Value)), CodeWrongType))
	}
}
