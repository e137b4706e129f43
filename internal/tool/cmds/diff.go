package cmds

import "strings"

// diffLines returns the lines to remove from before, with the prefix "- ", and to add,
// with the prefix "+ ", to get after. Their number is minimal, since the lines that are
// kept are a longest common subsequence.
func diffLines(before, after string) []string {
	a, b := splitLines(before), splitLines(after)
	// common[i][j] is the length of the longest common subsequence of a[i:] and b[j:].
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			lines = append(lines, "- "+a[i])
			i++
		default:
			lines = append(lines, "+ "+b[j])
			j++
		}
	}
	return lines
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}
