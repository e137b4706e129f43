// Package story tells from the logs of several processes what became of one request.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// JobID is the job that the line is about, or empty.
	JobID model.ID
	// Task and Run name the run that the line is about, if any.
	Task string
	Run  uint32
	// Attrs holds the other fields as key=value, by key.
	Attrs []string
}

// Read reads log lines, by time. It returns how many lines could not be read; what
// stands before a line's JSON is passed over.
func Read(r io.Reader) (lines []Line, unread int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		text := bytes.TrimSpace(in.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := parse(text)
		if err != nil {
			unread++
			continue
		}
		lines = append(lines, line)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, unread, in.Err()
}

func parse(text []byte) (Line, error) {
	var known struct {
		Time time.Time `json:"time"`
		Node string    `json:"node"`
		Msg  string    `json:"msg"`
		Req  model.ID  `json:"req"`
		Task string    `json:"task"`
		Run  uint32    `json:"run"`
	}
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, fmt.Errorf("%q is not a log line", text)
	}
	if err := json.Unmarshal(text[begin:], &known); err != nil {
		return Line{}, err
	}
	if known.Msg == "" || known.Time.IsZero() {
		return Line{}, fmt.Errorf("%q has no time or message", text)
	}
	line := Line{Time: known.Time, Node: known.Node, Message: known.Msg, JobID: known.Req, Task: known.Task, Run: known.Run}
	if line.JobID == "" {
		line.JobID = model.JobOf(known.Task)
	}
	inputs, err := inputsOf(text[begin:])
	line.Attrs = inputs
	return line, err
}

// shown are the fields that a line holds by name.
var shown = []string{"time", "level", "node", "msg", "req"}

func inputsOf(text []byte) ([]string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	var list []string
	for key, value := range fields {
		if !slices.Contains(shown, key) {
			list = append(list, key+"="+strings.Trim(string(value), `"`))
		}
	}
	slices.Sort(list)
	return list, nil
}
