package rollout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnmoor/auburnmoor/decide/rollout"
	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/port/engine"
)

func TestMain(m *testing.M) { testkit.Main(m) }

func TestRollout(t *testing.T) { testkit.Suite(t, "rollout") }

func manifestOf(models ...string) *manifest.Manifest {
	m := &manifest.Manifest{}
	for _, v := range models {
		m.Services = append(m.Services, manifest.Service{Name: v, Type: manifest.Model, ModelName: "m", Version: v})
	}
	return m
}

var _ = Describe("a rollout", func() {
	It("limits the loads in progress and spaces their starts", func() {
		p := rollout.NewPlanner(rollout.Config{MaxPerEngine: 4, MaxLoads: 2, LoadInterval: time.Second, LoadTimeout: time.Minute})
		var engines []rollout.Engine
		for i := range 10 {
			engines = append(engines, rollout.Engine{Name: fmt.Sprint("e", i)})
		}
		loads := 0
		for now := time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
			loads += len(p.Next(now, manifestOf("v1"), engines))
		}
		Expect(loads).To(Equal(2))
	})

	It("undoes a late order of a former lease holder", func() {
		p := rollout.NewPlanner(rollout.DefaultConfig())
		engines := []rollout.Engine{{Name: "e", Models: []string{"m@v1", "m@withdrawn"}, Role: "long"}}
		steps := p.Next(time.Second, manifestOf("v1"), engines)
		Expect(steps).To(ContainElement(rollout.Step{Engine: "e", Order: engine.Order{Kind: engine.OrderUnload, Target: "m@withdrawn"}}))
		Expect(steps).To(ContainElement(rollout.Step{Engine: "e", Order: engine.Order{Kind: engine.OrderRole, Target: "any"}}))
	})

	It("assigns engines to every model when there are more models than fit on one engine", func() {
		var models []string
		for i := range 14 {
			models = append(models, fmt.Sprintf("v%02d", i))
		}
		var engines []rollout.Engine
		for i := range 20 {
			engines = append(engines, rollout.Engine{Name: fmt.Sprint("e", i)})
		}
		count := map[string]int{}
		for _, assigned := range rollout.Assign(manifestOf(models...), engines, 4) {
			Expect(len(assigned)).To(BeNumerically("<=", 4))
			for _, m := range assigned {
				count[m]++
			}
		}
		Expect(count).To(HaveLen(14))
		for _, n := range count {
			Expect(n).To(BeNumerically(">=", 5))
		}
	})
})

// TestReadyProperty changes versions at random times while loads take a random
// time and orders get lost. Once some version of the service is ready, at least
// one must stay ready.
func TestReadyProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rollout.NewPlanner(rollout.DefaultConfig())
		engines := make([]rollout.Engine, rapid.IntRange(1, 6).Draw(t, "engines"))
		for i := range engines {
			engines[i].Name = fmt.Sprint("e", i)
		}
		ready := map[string]time.Duration{}
		version, wasReady := 1, false
		for now := time.Second; now < 3*time.Minute; now += 500 * time.Millisecond {
			if rapid.IntRange(0, 60).Draw(t, "change") == 0 {
				version++
			}
			for _, s := range p.Next(now, manifestOf(fmt.Sprint("v", version)), engines) {
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					continue
				}
				key := s.Engine + "/" + s.Order.Target
				if s.Order.Kind == engine.OrderLoad {
					ready[key] = now + time.Duration(rapid.IntRange(0, 5).Draw(t, "load"))*time.Second
				} else {
					delete(ready, key)
				}
			}
			anyReady := false
			for i := range engines {
				engines[i].Models = nil
				for v := range version {
					m := fmt.Sprintf("m@v%d", v+1)
					if at, ok := ready[engines[i].Name+"/"+m]; ok && at <= now {
						engines[i].Models = append(engines[i].Models, m)
					}
				}
				slices.Sort(engines[i].Models)
				anyReady = anyReady || len(engines[i].Models) > 0
			}
			if wasReady && !anyReady {
				t.Fatalf("no engine is ready at %s", now)
			}
			wasReady = anyReady
		}
	})
}
