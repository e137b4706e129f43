package stall_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/plat/stall"
)

// transfer sends parts with the given pause before each, and returns what the guarded reader
// got before the context ended, and why it ended.
func transfer(timeout time.Duration, pauses ...time.Duration) (parts int, cause error) {
	ctx, g := stall.New(context.Background(), timeout)
	defer g.Stop()
	r, w := io.Pipe()
	defer r.Close()
	go func() {
		for _, d := range pauses {
			select {
			case <-ctx.Done():
				return
			case <-time.After(d):
			}
			if _, err := w.Write([]byte("x")); err != nil {
				return
			}
		}
		w.Close()
	}()
	context.AfterFunc(ctx, func() { r.CloseWithError(context.Cause(ctx)) })
	buf := make([]byte, 8)
	for guarded := g.Reader(r); ; parts++ {
		if _, err := guarded.Read(buf); err != nil {
			return parts, context.Cause(ctx)
		}
	}
}

func TestGuardLetsASlowTransferFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts, cause := transfer(time.Second, 900*time.Millisecond, 900*time.Millisecond, 900*time.Millisecond)
		NewWithT(t).Expect(cause).NotTo(HaveOccurred())
		NewWithT(t).Expect(parts).To(Equal(3))
	})
}

func TestGuardEndsATransferWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		parts, cause := transfer(time.Second, 500*time.Millisecond, time.Minute)
		NewWithT(t).Expect(cause).To(MatchError(stall.ErrStalled))
		NewWithT(t).Expect(parts).To(Equal(1))
		NewWithT(t).Expect(time.Since(begin)).To(Equal(1500 * time.Millisecond))
	})
}
