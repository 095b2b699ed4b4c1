package main

// diffLines returns a line diff of two texts, based on their longest common subsequence. Each line
// starts with "+", "-" or " ". Unchanged lines are left out unless they are within contextLines of
// a change.
func diffLines(before, after []string) []string {
	common := commonLengths(before, after)
	var out []string
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			out = append(out, " "+before[i])
			i++
			j++
		case j < len(after) && (i == len(before) || common[i][j+1] >= common[i+1][j]):
			out = append(out, "+"+after[j])
			j++
		default:
			out = append(out, "-"+before[i])
			i++
		}
	}
	return keepContext(out)
}

// commonLengths returns a table whose element [i][j] is the length of the longest common subsequence
// of before[i:] and after[j:].
func commonLengths(before, after []string) [][]int {
	table := make([][]int, len(before)+1)
	for i := range table {
		table[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

// contextLines is the number of unchanged lines printed on each side of a change.
const contextLines = 2

// keepContext removes unchanged lines that are more than contextLines away from a change.
func keepContext(lines []string) []string {
	keep := make([]bool, len(lines))
	for i, l := range lines {
		if l[0] == ' ' {
			continue
		}
		for k := max(0, i-contextLines); k <= min(len(lines)-1, i+contextLines); k++ {
			keep[k] = true
		}
	}
	var out []string
	for i, l := range lines {
		if keep[i] {
			out = append(out, l)
		}
	}
	return out
}
