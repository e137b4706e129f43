package story_test

import (
	"strings"
	"testing"

	"github.com/ebonyarch/ebonyarch/internal/tool/story"
)

func FuzzRead(f *testing.F) {
	f.Add(recorded)
	f.Add(`{"time":"2026-01-01T10:00:00Z","msg":"m","run":-1}`)
	f.Fuzz(func(t *testing.T, log string) {
		lines, _, err := story.Read(strings.NewReader(log))
		if err != nil {
			return
		}
		for _, line := range lines {
			if err := story.New(lines, line.JobID).Write(&strings.Builder{}); err != nil {
				t.Fatal(err)
			}
		}
	})
}
