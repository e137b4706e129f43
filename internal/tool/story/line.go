// Package story reconstructs from the logs of several processes what happened to a job.
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

// maxLine is the size limit of a log line, in bytes.
const maxLine = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// JobID identifies the job that the line is about, if any. It is the attribute req,
	// or else the job part of the attribute task.
	JobID model.ID
	// Task and Run identify the run that the line is about, if any.
	Task string
	Run  uint32
	// Attrs holds the line's attributes as key=value, sorted by key, without those in
	// omittedKeys.
	Attrs []string
}

// Read reads log lines and sorts them by time. Text before a line's JSON is ignored.
// skipped is the number of lines that could not be parsed.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := parse(text)
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, skipped, scanner.Err()
}

// parse parses a log line from its first brace on.
func parse(text []byte) (Line, error) {
	var record struct {
		Time time.Time `json:"time"`
		Node string    `json:"node"`
		Msg  string    `json:"msg"`
		Req  model.ID  `json:"req"`
		Task string    `json:"task"`
		Run  uint32    `json:"run"`
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("%q is not a log line", text)
	}
	if err := json.Unmarshal(text[start:], &record); err != nil {
		return Line{}, err
	}
	if record.Msg == "" || record.Time.IsZero() {
		return Line{}, fmt.Errorf("%q has no time or message", text)
	}
	line := Line{Time: record.Time, Node: record.Node, Message: record.Msg, JobID: record.Req, Task: record.Task, Run: record.Run}
	if line.JobID == "" {
		line.JobID = model.JobOf(record.Task)
	}
	attrs, err := attrsOf(text[start:])
	line.Attrs = attrs
	return line, err
}

// omittedKeys are the keys that Attrs leaves out: the level and fields of Line.
var omittedKeys = []string{"time", "level", "node", "msg", "req"}

// attrsOf returns the attributes of a log line as key=value, sorted by key.
func attrsOf(text []byte) ([]string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	var list []string
	for key, value := range fields {
		if !slices.Contains(omittedKeys, key) {
			list = append(list, key+"="+strings.Trim(string(value), `"`))
		}
	}
	slices.Sort(list)
	return list, nil
}
