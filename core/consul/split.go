package consul

import "bytes"

// splitArray returns the elements of a JSON array without decoding them, so that one that
// can't be decoded does not spoil the others. It does not check the elements and uses no
// recursion, however deeply they are nested. It returns false if the text is no array.
func splitArray(text []byte) ([][]byte, bool) {
	text = bytes.TrimSpace(text)
	if len(text) < 2 || text[0] != '[' || text[len(text)-1] != ']' {
		return nil, false
	}
	elements := [][]byte{}
	depth, start := 0, 1
	inString, escaped := false, false
	for i := 1; i < len(text)-1; i++ {
		switch x := text[i]; {
		case escaped:
			escaped = false
		case inString:
			escaped = x == '\\'
			inString = x != '"'
		case x == '"':
			inString = true
		case x == '[' || x == '{':
			depth++
		case x == ']' || x == '}':
			depth--
		case x == ',' && depth == 0:
			elements = append(elements, text[start:i])
			start = i + 1
		}
	}
	if depth != 0 || inString {
		return nil, false
	}
	if last := text[start : len(text)-1]; len(elements) > 0 || len(bytes.TrimSpace(last)) > 0 {
		elements = append(elements, last)
	}

	return elements, true
}
