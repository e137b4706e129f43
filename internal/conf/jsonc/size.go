package jsonc

import "bytes"

const (
	// maxValues and maxDepth limit the values of a document and how deep they are nested.
	maxValues = 32 << 10
	maxDepth  = 64
	// maxFaults is the number of faults that a document reports one by one.
	maxFaults = 200
	// valueMemory is what a value takes while its document is decoded, in bytes.
	valueMemory = 512
)

// size is how much a document holds.
type size struct {
	// values is an upper bound of the number of values and of names.
	values, depth int
}

// DecodedSize returns what a document takes at most while it is decoded, in bytes. It takes no
// memory of its own.
func DecodedSize(data []byte) int64 {
	return int64(min(measure(data).values, maxValues))*valueMemory + int64(len(data))
}

// measure counts the values of a document, which need not be valid. It stops where there are too
// many.
func measure(data []byte) size {
	s := size{values: 1}
	depth := 0
	for i := 0; i < len(data) && s.values <= maxValues && s.depth <= maxDepth; i++ {
		switch data[i] {
		case '{', '[':
			depth++
			s.depth = max(s.depth, depth)
			s.values++
		case '}', ']':
			depth--
		case ',', ':':
			s.values++
		case '"':
			i += skipString(data[i+1:])
		case '/':
			i += skipComment(data[i+1:])
		}
	}
	return s
}

// skipString returns the size of the rest of a string.
func skipString(data []byte) int {
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// skipComment returns the size of the rest of a comment, 0 if there is none.
func skipComment(data []byte) int {
	end := ""
	switch {
	case bytes.HasPrefix(data, []byte("/")):
		end = "\n"
	case bytes.HasPrefix(data, []byte("*")):
		end = "*/"
	default:
		return 0
	}
	if i := bytes.Index(data[1:], []byte(end)); i >= 0 {
		return 1 + i + len(end)
	}
	return len(data)
}
