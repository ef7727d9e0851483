package limits

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/ratelimit"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func TestLimits(t *testing.T) { testkit.Suite(t, "control/limits") }

var _ = Describe("limits told to other instances", func() {
	key, now := ratelimit.Key(7), 10*time.Second
	record := ratelimit.Record{Limit: ratelimit.Limit{Named: true, PerSecond: 1.6}, Heard: 8 * time.Second}

	It("arrive with their age", func() {
		heard, limit, ok := decode(time.Minute, encodeOne(now, key, record))
		Expect(ok).To(BeTrue())
		Expect(heard).To(Equal(58 * time.Second))
		Expect(limit).To(Equal(record.Limit))
	})

	DescribeTable("are ignored if they are no rate", func(rate float64) {
		_, _, ok := decode(now, &peerpb.NamedLimit{Named: true, PerSecond: rate})
		Expect(ok).To(BeFalse())
	},
		Entry("negative", -1.0), Entry("not a number", math.NaN()), Entry("infinite", math.Inf(1)),
	)

	It("take few bytes", func() {
		one := proto.Size(encode(now, map[ratelimit.Key]ratelimit.Record{key: record}))
		fmt.Fprintln(GinkgoWriter, one, "bytes for each limit")
		Expect(one).To(BeNumerically("<=", 32))
	})
})
