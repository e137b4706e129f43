package demo_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/tool/demo"
)

func TestTry(t *testing.T) {
	g := NewWithT(t)
	var out, log bytes.Buffer
	err := demo.Try(context.Background(), &out, slog.New(slog.NewTextHandler(&log, nil)))
	g.Expect(err).NotTo(HaveOccurred(), "%s", &log)
	g.Expect(out.String()).To(ContainSubstring("all jobs are completed"))
}
