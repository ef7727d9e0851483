package notices

import (
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/auburnmoor/auburnmoor/decide/notice"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/peerlink"
	"github.com/auburnmoor/auburnmoor/peerpb"
)

func TestNotices(t *testing.T) { testkit.Suite(t, "notices") }

var _ = Describe("messages about servers that leave", func() {
	It("name each server once, and fit into datagrams", func() {
		leaving := map[notice.Key]notice.Leaving{}
		for i := range 100 {
			server := notice.Key{Server: "i-" + strings.Repeat("0", 20) + strconv.Itoa(i), Life: 1_700_000_000_000}
			leaving[server] = notice.Leaving{By: "front-akl-c-1.example", Heard: time.Second}
		}
		messages, named := split(encode(3*time.Second, leaving)), map[string]bool{}
		for _, m := range messages {
			raw, err := proto.Marshal(&peerpb.Envelope{Body: &peerpb.Envelope_ServerNotices{ServerNotices: m}})
			Expect(err).NotTo(HaveOccurred())
			Expect(len(raw)).To(BeNumerically("<=", peerlink.MaxDatagramBody))
			for _, s := range m.Leaving {
				Expect(s.AgeMs).To(Equal(uint32(2000)))
				named[s.Id] = true
			}
		}
		Expect(named).To(HaveLen(100))
	})

	It("are none if no server leaves", func() { Expect(split(nil)).To(BeEmpty()) })
})
