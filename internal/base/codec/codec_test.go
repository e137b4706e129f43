package codec_test

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/base/codec"
	"github.com/ebonyarch/ebonyarch/internal/jobs/model"
	"github.com/ebonyarch/ebonyarch/internal/jobs/msgs"
	"github.com/ebonyarch/ebonyarch/internal/sched/place"
)

// pair is a struct that is encoded as an array, such as all records of the store.
type pair struct {
	_ struct{} `cbor:",toarray"`
	A int
	T time.Time
}

// panics is a type whose decoder panics.
type panics struct{}

func (*panics) UnmarshalCBOR([]byte) error { panic("lost its place") }

// misplaced is an array of indefinite length with a map in place of the time. The library
// loses its place in that map, misses the end of the array and panics.
const misplaced = "\x9f\x01\xa1\xd3\x00\xd8\xeb\x60\xff"

var _ = Describe("The codec", func() {
	DescribeTable("returns an error for", func(data string) {
		var p pair
		Expect(codec.Unmarshal([]byte(data), &p)).NotTo(Succeed())
		Expect(codec.NewDecoder(bytes.NewReader([]byte(data))).Decode(&p)).NotTo(Succeed())
		var addr netip.AddrPort
		Expect(codec.Unmarshal([]byte(data), &addr)).NotTo(Succeed())
	},
		Entry("an array of indefinite length", "\x9f\x01\x02\xff"),
		Entry("an array of indefinite length in which the library loses its place", misplaced),
		Entry("a map in place of a time", "\x82\x01\xa1\x00\x00"),
		Entry("deep nesting", string(bytes.Repeat([]byte{0x81}, 100_000))+"\x01"),
		Entry("an array that claims more elements than there are", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff\x01"),
		Entry("a text that claims more bytes than there are", "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff\x01"),
		Entry("a number too large for the field", "\x82\x1b\xff\xff\xff\xff\xff\xff\xff\xff\x60"),
		Entry("a field of another type", "\x82\x61a\x60"),
		Entry("a tag", "\xd8\xeb\x82\x01\x60"),
		Entry("half an array", "\x82\x01"),
		Entry("an address whose port is cut off", "\x45\x7f\x00\x00\x01\x50"),
		Entry("nothing", ""),
	)

	It("returns an error if a decoder panics", func() {
		Expect(codec.Unmarshal([]byte{1}, &panics{})).To(MatchError(ContainSubstring("panicked")))
		Expect(codec.NewDecoder(bytes.NewReader([]byte{1})).Decode(&panics{})).To(MatchError(ContainSubstring("panicked")))
	})

	It("decodes what it has encoded", func() {
		for _, m := range goodMessages() {
			data, err := codec.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			decoded := &msgs.Message{}
			Expect(codec.Unmarshal(data, decoded)).To(Succeed())
			Expect(codec.Marshal(decoded)).To(Equal(data))
		}
	})
})

// goodMessages returns a message of each kind.
func goodMessages() []*msgs.Message {
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	vm := msgs.VM{ID: "i-1", Incarnation: 77, Service: "s", Labels: []string{"a"}, Capacity: place.Resources{CPU: 1}, Remaining: time.Second}
	job := &model.Job{ID: "00000000000000aa", Steps: []model.Step{{Tasks: 1, After: []int{0}}}, StartAt: time.Unix(1, 0).UTC()}
	return []*msgs.Message{
		{Hello: &msgs.Hello{Node: "n", Addr: addr, Processors: 0.5}},
		{Welcome: &msgs.Welcome{Leader: addr, Entries: []netip.AddrPort{addr}}},
		{LeaseRequest: &msgs.LeaseRequest{VM: vm, Runs: []msgs.RunStatus{{Task: "t", Run: 1}}}},
		{Lease: &msgs.Lease{ValidFor: time.Second}},
		{Orders: &msgs.Orders{Starts: []msgs.Start{{Task: "t"}}, Stops: []msgs.Stop{{Task: "t"}}, Throttles: []msgs.Throttle{{Task: "t"}}}},
		{Report: &msgs.Report{Ends: []msgs.RunEnd{{Number: 1, Outcome: msgs.Done}}}},
		{EndsStored: &msgs.EndsStored{Number: 1}},
		{JobRequest: &msgs.JobRequest{Verb: msgs.Submit, Spec: job}},
		{JobResponse: &msgs.JobResponse{Pending: -1}},
		{Ping: &msgs.Ping{Entries: []netip.AddrPort{addr}, Config: &model.Config{Queues: []model.Queue{{Name: "q", Stretch: 1.5}}}}},
	}
}

func FuzzMessage(f *testing.F) {
	for _, m := range goodMessages() {
		data, err := codec.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(misplaced))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m msgs.Message
		if codec.Unmarshal(data, &m) == nil {
			if _, err := codec.Marshal(&m); err != nil {
				t.Errorf("cannot encode what was decoded: %v", err)
			}
		}
		var streamed msgs.Message
		_ = codec.NewDecoder(bytes.NewReader(data)).Decode(&streamed)
		var p pair
		_ = codec.Unmarshal(data, &p)
		var addr netip.AddrPort
		_ = codec.Unmarshal(data, &addr)
	})
}

var _ = Describe("An array", func() {
	decode := func(start any) (msgs.Orders, error) {
		data, err := codec.Marshal([]any{uint64(3), "vm-1", int64(5), []any{start}, nil, nil})
		Expect(err).NotTo(HaveOccurred())
		var o msgs.Orders
		err = codec.Unmarshal(data, &o)
		return o, err
	}
	earlier := []any{"task", uint32(2), "work", "c", "t", 80}

	It("of an earlier version, which lacks fields at the end, is decoded without them", func() {
		o, err := decode(earlier)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Starts).To(ConsistOf(msgs.Start{Task: "task", Run: 2, Payload: "work", Checkpoint: "c", Ticket: "t", Percent: 80}))
	})

	It("of an order to stop of an earlier version is decoded without a size", func() {
		data, err := codec.Marshal([]any{uint64(3), "vm-1", int64(5), nil, []any{[]any{"task", uint32(2)}}, nil})
		Expect(err).NotTo(HaveOccurred())
		var o msgs.Orders
		Expect(codec.Unmarshal(data, &o)).To(Succeed())
		Expect(o.Stops).To(ConsistOf(msgs.Stop{Task: "task", Run: 2}))
	})

	DescribeTable("that does not fit the type is refused", func(v any) {
		_, err := decode(v)
		Expect(err).To(HaveOccurred())
	},
		Entry("too many elements", append(append([]any{}, earlier...), true, []any{1, 2, 3}, 1)),
		Entry("an element of another type", []any{"task", "2"}),
		Entry("no array", "task"),
	)
})
