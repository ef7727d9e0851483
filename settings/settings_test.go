package settings_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	_ "github.com/auburnmoor/auburnmoor/modules"
	"github.com/auburnmoor/auburnmoor/settings"
)

func TestSettings(t *testing.T) { testkit.Suite(t, "settings") }

const validFile = `
[instance]
name = "entry-1"
data_centre = "dc-a"
region = "r"
caller_addr = "127.0.0.1:7101"
peer_addr = "127.0.0.1:7201"
admin_addr = "127.0.0.1:7301"

[platform.api]
object_api = "127.0.0.1:7001"
instance_list = "127.0.0.1:7001"
`

var _ = Describe("settings", func() {
	It("accepts a complete file", func() {
		f, err := settings.Parse("f.toml", []byte(validFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.CheckAll()).To(Succeed())
	})

	It("limits the heap to a share of the memory limit, if there is one", func() {
		Expect(settings.Instance{MemoryMB: 184}.HeapLimit()).To(BeNumerically("~", 101<<20, 1<<20))
		Expect(settings.Instance{}.HeapLimit()).To(BeZero())
	})

	It("reports every problem at once, with file, table and key", func() {
		bad := strings.Replace(validFile, `name = "entry-1"`, `nmae = "entry-1"`, 1) + `
[http.api]
max_body = -1
body_timeout = "fast"
[http.apo]
x = 1
[serve.dispatch]
order = "alphabetical"
candidates = 9
`
		f, err := settings.Parse("f.toml", []byte(bad))
		Expect(err).To(MatchError(And(
			ContainSubstring(`f.toml: [instance] unknown key "nmae"`),
			ContainSubstring(`key "name"`),
			ContainSubstring(`unknown table [http.apo]`),
		)))
		Expect(f.CheckAll()).To(MatchError(And(
			ContainSubstring(`[http.api]`), ContainSubstring("max_body"), ContainSubstring("fast"),
			ContainSubstring(`"candidates": value 9 breaks the rule max=4`),
		)))
	})

	It("lists the allowed values of the order", func() {
		f, err := settings.Parse("f.toml", []byte(validFile+"[serve.dispatch]\norder = \"alphabetical\"\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.CheckAll()).To(MatchError(ContainSubstring("stretch")))
	})

	It("reports the position of malformed TOML", func() {
		_, err := settings.Parse("f.toml", []byte("[instance]\nname = \n"))
		Expect(err).To(MatchError(ContainSubstring("line 2")))
	})
})

func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add("[instance]\nname = 3\n[http]\napi = 4")
	f.Add("instance = [1, 2]")
	f.Fuzz(func(t *testing.T, raw string) {
		file, err := settings.Parse("f.toml", []byte(raw))
		if err == nil {
			_ = file.CheckAll()
		}
	})
}
