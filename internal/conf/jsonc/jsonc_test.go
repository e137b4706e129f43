package jsonc_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ebonyarch/ebonyarch/internal/conf/jsonc"
)

type document struct {
	Name  string         `json:"name"`
	Count int            `json:"count"`
	Wait  jsonc.Duration `json:"wait"`
	Size  jsonc.Memory   `json:"size"`
	Items map[string]struct {
		N uint8 `json:"n"`
	} `json:"items"`
	List []string `json:"list"`
}

var _ = Describe("strict decoding", func() {
	It("reads comments, trailing commas and units", func() {
		var d document
		doc := jsonc.Decode("f", []byte("{\n // why\n\"name\": \"a\", \"wait\": \"250ms\", \"size\": \"2GB\", \"items\": {\"x\": {\"n\": 1}}, \"list\": [\"b\",],\n}"), &d)
		Expect(doc.Faults()).To(BeEmpty())
		Expect(d.Name).To(Equal("a"))
		Expect(d.Wait.Milliseconds()).To(BeEquivalentTo(250))
		Expect(d.Size).To(BeEquivalentTo(2048))
		Expect(d.Items["x"].N).To(BeEquivalentTo(1))
		Expect(d.List).To(Equal([]string{"b"}))
	})

	DescribeTable("reports faults with line and field",
		func(text string, want ...string) {
			var d document
			var got []string
			for _, f := range jsonc.Decode("f", []byte(text), &d).Faults() {
				got = append(got, f.String())
			}
			Expect(got).To(HaveLen(len(want)))
			for i := range want {
				Expect(got[i]).To(HavePrefix(want[i]))
			}
		},
		Entry("syntax", "{\n\"name\" 1}", "f:2: : "),
		Entry("unknown", "{\n\n\"nam\": 1}", "f:3: nam: unknown field"),
		Entry("duplicate field", "{\"count\": 1,\n\"count\": 2}", "f:1: count: field stands twice"),
		Entry("type", "{\n\"name\": 1}", "f:2: name: want string, got number"),
		Entry("duration", "{\"wait\": \"soon\"}", "f:1: wait: want a duration"),
		Entry("memory", "{\"size\": \"4 apples\"}", "f:1: size: want an amount"),
		Entry("memory that is not a number", "{\"size\": \"NaNGB\"}", "f:1: size: want an amount"),
		Entry("infinite memory", "{\"size\": \"+InfGB\"}", "f:1: size: want an amount"),
		Entry("nested", "{\"items\":\n{\"x\": {\"n\": 300}}}", "f:2: items.x.n: want uint8"),
		Entry("all at once", "{\n\"a\": 1,\n\"count\": \"x\"}", "f:2: a:", "f:3: count:"),
		Entry("not an object", "[]", "f:1: : want an object"),
	)
})

// Parsing and the list of faults took a thousand times the memory of some documents.
var _ = Describe("A document", func() {
	decode := func(text string) jsonc.Faults {
		var v struct {
			Names map[string]int `json:"names"`
		}
		return jsonc.Decode("f", []byte(text), &v).Faults()
	}

	DescribeTable("is not parsed if it has", func(text string) {
		Expect(decode(text)).To(ConsistOf(HaveField("Reason", HavePrefix("want at most "))))
	},
		Entry("too many values", `{"names":[`+strings.Repeat(`{},`, 40_000)+`{}]}`),
		Entry("too many levels", `{"names":`+strings.Repeat(`[`, 100)),
		Entry("too many values after a comment", "// \"\n/* [ */"+`{"names":[`+strings.Repeat(`0,`, 40_000)+`0]}`),
	)

	It("reports a limited number of faults", func() {
		faults := decode(`{"a":1` + strings.Repeat(`,"a":1`, 5000) + `}`)
		Expect(faults).To(HaveLen(201))
		Expect(faults[200].Reason).To(Equal("4801 further faults"))
	})

	It("may have much text, also with signs that separate values", func() {
		Expect(decode(`{ // ` + strings.Repeat(",[", 40_000) + "\n" + `"names": {"` + strings.Repeat(`,\"{`, 40_000) + `": 1}, /* ` + strings.Repeat("[", 100) + ` */}`)).To(BeEmpty())
	})

	It("takes more the more values it has", func() {
		Expect(jsonc.DecodedSize([]byte(`{"a": [1, 2]}`))).To(BeNumerically(">", jsonc.DecodedSize([]byte(`{"a": "1, 2, 3"}`))))
	})
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", /* c */ "items": {"x": {"n": 1}}, "wait": "1s",}`))
	f.Add([]byte(`{"list": [1, {"a": null}], "size": "9TB"}`))
	f.Add([]byte(`{"count": 1e999, "count": -0}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var d document
		doc := jsonc.Decode("f", data, &d)
		doc.Add("items.x.n", "a check")
		_ = doc.Faults().Error()
	})
}
