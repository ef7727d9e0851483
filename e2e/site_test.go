// Package e2e tests whole sites over loopback connections.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/auburnmoor/auburnmoor/internal/testkit"
	"github.com/auburnmoor/auburnmoor/lab/dev"
	"github.com/auburnmoor/auburnmoor/lab/standin/answer"
	"github.com/auburnmoor/auburnmoor/lab/standin/engineserver"
	"github.com/auburnmoor/auburnmoor/lab/standin/platformserver"
	_ "github.com/auburnmoor/auburnmoor/modules"
	"github.com/auburnmoor/auburnmoor/port/instances"
)

func TestE2E(t *testing.T) { testkit.Suite(t, "e2e") }

// basePort differs from the default of "auburnmoor dev".
const basePort = 17_001

func startSite(change func(*dev.Options)) *dev.Site {
	raw, err := os.ReadFile("../examples/te-puna.toml")
	Expect(err).NotTo(HaveOccurred())
	o := dev.DefaultOptions()
	o.BasePort, o.Manifest, o.StepFactor = basePort+portShift, raw, 0.05
	change(&o)
	site, err := dev.Start(context.Background(), o)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	Expect(site.Ready(ctx)).To(Succeed())
	return site
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) errorName() string {
	var b struct {
		Error struct {
			Name   string `json:"name"`
			NotRun bool   `json:"not_run"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &b)
	return b.Error.Name
}

func call(method, url string, body string, header ...string) reply {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+dev.DemoKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(raw)}
}

func completion(addr, prompt string, max int, header ...string) reply {
	raw, _ := json.Marshal(map[string]any{"model": "tutor-feedback", "prompt": prompt, "max_tokens": max})
	return call(http.MethodPost, "http://"+addr+"/v1/completions", string(raw), header...)
}

func text(r reply) string {
	var b struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	_ = json.Unmarshal([]byte(r.body), &b)
	if len(b.Choices) == 0 {
		return r.body
	}
	return b.Choices[0].Text
}

var _ = Describe("a site", Ordered, func() {
	var site *dev.Site

	BeforeAll(func() { site = startSite(func(*dev.Options) {}) })
	AfterAll(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		Expect(site.Stop(ctx)).To(Succeed())
	})

	It("answers the same question through every entry", func() {
		for i := range 3 {
			r := completion(site.CallerAddr(i), "Is it clear?", 5)
			Expect(r.status).To(Equal(http.StatusOK), r.body)
			Expect(text(r)).To(Equal(answer.Whole("Is it clear?", 5)))
			Expect(r.header.Get("X-Entry-Instance")).To(Equal(fmt.Sprintf("entry-%d", i+1)))
		}
	})

	// Guards against printed examples of which the second is refused: idempotency keys belong
	// to the customer, not to the service, so examples must not share one.
	It("prints examples with distinct idempotency keys", func() {
		seen := map[string]bool{}
		for _, line := range site.Examples() {
			_, rest, ok := strings.Cut(line, "Idempotency-Key: ")
			if !ok {
				continue
			}
			key, _, _ := strings.Cut(rest, "'")
			Expect(seen).NotTo(HaveKey(key))
			seen[key] = true
		}
		Expect(seen).NotTo(BeEmpty())
	})

	It("streams to an OpenAI client", func() {
		c := openai.NewClient(option.WithBaseURL("http://"+site.CallerAddr(1)+"/v1"), option.WithAPIKey(dev.DemoKey), option.WithMaxRetries(0))
		s := c.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
			Model: "tutor-feedback", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
			MaxTokens: openai.Int(6), StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		})
		got, tokens := "", int64(0)
		for s.Next() {
			for _, ch := range s.Current().Choices {
				got += ch.Delta.Content
			}
			tokens = max(tokens, s.Current().Usage.CompletionTokens)
		}
		Expect(s.Err()).NotTo(HaveOccurred())
		Expect(got).To(Equal(answer.Whole("user: hello\n", 6)))
		Expect(tokens).To(Equal(int64(6)))
	})

	It("answers prompts larger than any one engine, through any entry", func() {
		prompt := strings.Repeat("archive ", 300_000)
		r := completion(site.CallerAddr(2), prompt, 4, "X-Request-Kind", "portfolio-review")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Expect(text(r)).To(Equal(answer.Whole(prompt, 4)))
		Eventually(func() int64 { return kvTokensHeld(site) }, "20s", "200ms").Should(BeZero(), "KV memory was not released")
	})

	It("refuses a prompt that no set of engines can hold as not run, at once", func() {
		r := completion(site.CallerAddr(0), strings.Repeat("x", 15<<20), 4, "X-Request-Kind", "portfolio-review")
		Expect(r.errorName()).To(Equal("too_long_for_fleet"))
		Expect(r.body).To(ContainSubstring(`"not_run":true`))
	})

	It("runs a key once when it is sent to three entries at the same time", func() {
		before := site.Runs["enrolment"].Runs()
		replies := make(chan reply, 9)
		for i := range 9 {
			go func() {
				defer GinkgoRecover()
				replies <- call(http.MethodPost, "http://"+site.CallerAddr(i%3)+"/v1/services/enrolment/charge", `{"learner":1}`, "Idempotency-Key", "once")
			}()
		}
		ok := 0
		for range 9 {
			if r := <-replies; r.status == http.StatusOK {
				ok++
			} else {
				Expect(r.errorName()).To(Equal("claim_running"), r.body)
			}
		}
		Expect(ok).To(BeNumerically(">=", 1))
		Expect(site.Runs["enrolment"].Runs() - before).To(Equal(uint64(1)))
		Eventually(func() string {
			return call(http.MethodPost, "http://"+site.CallerAddr(0)+"/v1/services/enrolment/charge", `{"learner":1}`, "Idempotency-Key", "once").body
		}, "5s", "100ms").Should(ContainSubstring(`"key":"once"`))
		Expect(site.Runs["enrolment"].Runs() - before).To(Equal(uint64(1)))
	})

	DescribeTable("refuses bad input quickly with a numbered code",
		func(do func() reply, status int, name string) {
			r := do()
			Expect(r.status).To(Equal(status), r.body)
			Expect(r.errorName()).To(Equal(name))
			Expect(r.body).To(ContainSubstring(`"not_run":true`))
		},
		Entry("unknown key", func() reply {
			return call("GET", "http://"+site.CallerAddr(0)+"/v1/models", "", "Authorization", "Bearer nobody")
		}, 401, "unknown_key"),
		Entry("unknown model", func() reply {
			return call("POST", "http://"+site.CallerAddr(0)+"/v1/completions", `{"model":"x","prompt":"y"}`)
		}, 404, "unknown_model"),
		Entry("unknown kind", func() reply { return completion(site.CallerAddr(0), "x", 1, "X-Request-Kind", "nope") }, 400, "unknown_kind"),
		Entry("negative timeout", func() reply { return completion(site.CallerAddr(0), "x", 1, "X-Request-Timeout-Ms", "-5") }, 400, "bad_request"),
		Entry("negative max_tokens", func() reply { return completion(site.CallerAddr(0), "x", -1) }, 400, "bad_request"),
		Entry("malformed JSON", func() reply {
			return call("POST", "http://"+site.CallerAddr(0)+"/v1/chat/completions", `{"model"`)
		}, 400, "bad_request"),
		Entry("body over the limit", func() reply { return completion(site.CallerAddr(0), strings.Repeat("x", 17<<20), 1) }, 413, "body_too_large"),
		Entry("unknown service", func() reply { return call("GET", "http://"+site.CallerAddr(0)+"/v1/services/x/y", "") }, 404, "unknown_service"),
		Entry("unknown path", func() reply { return call("GET", "http://"+site.CallerAddr(0)+"/v2/x", "") }, 404, "not_found"),
		Entry("no idempotency key", func() reply {
			return call("POST", "http://"+site.CallerAddr(0)+"/v1/services/dispatch/x", "{}")
		}, 400, "idempotency_key_required"),
	)

	// Guards against answers with words of another caller, duplicated words or missing parts.
	// Engines answer late, send a chunk to the wrong stream or drop the connection; the
	// session resumes at the next chunk, so the answer is complete or fails.
	DescribeTable("returns a complete answer despite faults of the engines",
		func(f engineserver.Fault) {
			for _, e := range site.Engines {
				e.Inject(f)
			}
			for i := range 6 {
				prompt := fmt.Sprintf("question %d", i)
				r := completion(site.CallerAddr(i%3), prompt, 12)
				Expect(r.status).To(Equal(http.StatusOK), r.body)
				Expect(text(r)).To(Equal(answer.Whole(prompt, 12)))
			}
		},
		Entry("crossed", engineserver.Fault{Kind: engineserver.Crossed, Times: 1}),
		Entry("dropped", engineserver.Fault{Kind: engineserver.Drop, Times: 2}),
		Entry("late", engineserver.Fault{Kind: engineserver.Late, Times: 5, Factor: 50}),
	)

	It("frees the engine when the caller disconnects", func() {
		ctx, cancel := context.WithCancel(context.Background())
		raw, _ := json.Marshal(map[string]any{"model": "tutor-feedback", "prompt": "long", "max_tokens": 2000, "stream": true})
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+site.CallerAddr(0)+"/v1/completions", bytes.NewReader(raw))
		req.Header.Set("Authorization", "Bearer "+dev.DemoKey)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		_, _ = resp.Body.Read(make([]byte, 10))
		cancel()
		Eventually(func() int64 { return kvTokensHeld(site) }, "5s", "50ms").Should(BeZero())
	})

	It("fails at the deadline and frees the engine when the engine hangs", func() {
		for _, e := range site.Engines {
			e.Inject(engineserver.Fault{Kind: engineserver.Hang, On: true})
		}
		r := completion(site.CallerAddr(0), "stuck", 5, "X-Request-Timeout-Ms", "700")
		Expect(r.errorName()).To(Equal("deadline_passed"), r.body)
		for _, e := range site.Engines {
			e.Inject(engineserver.Fault{Kind: engineserver.Hang})
		}
		Eventually(func() int64 { return kvTokensHeld(site) }, "5s", "50ms").Should(BeZero())
		Eventually(func() int { return completion(site.CallerAddr(0), "well again", 2).status }, "20s", "200ms").Should(Equal(200))
	})

	It("sends no new requests to a leaving backend server after a few seconds", func() {
		site.Platform.SetInstance(instances.Instance{
			Name: "engine-1", Role: instances.RoleEngine, Addr: site.Engines[0].Addr(), DataCentre: "dc-a", Region: "dev", Fencing: true, Leaving: true,
		})
		time.Sleep(3 * time.Second)
		before := site.Engines[0].Runs()
		for i := range 30 {
			Expect(completion(site.CallerAddr(i%3), fmt.Sprint("q", i), 1).status).To(Equal(200))
		}
		Expect(site.Engines[0].Runs()).To(Equal(before))
	})

	It("answers model requests and refuses claims while the platform is down", func() {
		site.Platform.Inject(platformserver.Faults{Down: true})
		defer site.Platform.Inject(platformserver.Faults{})
		time.Sleep(time.Second)
		for i := range 6 {
			Expect(completion(site.CallerAddr(i%3), "still here", 2).status).To(Equal(200))
		}
		r := call("POST", "http://"+site.CallerAddr(0)+"/v1/services/dispatch/x", "{}", "Idempotency-Key", "down")
		Expect(r.errorName()).To(Equal("claim_unavailable"), r.body)
		Expect(r.body).To(ContainSubstring(`"not_run":true`))
	})

	// Guards against keyed requests that fail while the platform is down although the instance
	// that runs them is healthy. A key that names its home instance needs no ledger.
	It("runs keys with a home instance once while the platform is down, through any entry", func() {
		site.Platform.Inject(platformserver.Faults{Down: true})
		defer site.Platform.Inject(platformserver.Faults{})
		var entries struct {
			KeyPrefix string `json:"key_prefix"`
		}
		Expect(json.Unmarshal([]byte(call("GET", "http://"+site.CallerAddr(1)+"/v1/entries", "").body), &entries)).To(Succeed())
		before := site.Runs["dispatch"].Runs()
		for i := range 6 {
			r := call("POST", "http://"+site.CallerAddr(i%3)+"/v1/services/dispatch/x", "{}", "Idempotency-Key", entries.KeyPrefix+"parcel-1")
			Expect(r.status).To(Equal(200), r.body)
			Expect(r.body).To(ContainSubstring(fmt.Sprintf(`"run":%d,`, before+1)))
		}
		Expect(site.Runs["dispatch"].Runs() - before).To(Equal(uint64(1)))
		gone := call("POST", "http://"+site.CallerAddr(0)+"/v1/services/dispatch/x", "{}", "Idempotency-Key", "home~entry-2~1~parcel-1")
		Expect(gone.errorName()).To(Equal("outcome_unknown"))
		Expect(site.Runs["dispatch"].Runs() - before).To(Equal(uint64(1)))
	})

	It("records a request in its state dump, without prompt or key", func() {
		secret := "a very particular question"
		r := completion(site.CallerAddr(1), secret, 2)
		id := r.header.Get("X-Request-Id")
		d := call("GET", "http://"+site.AdminAddr(1)+"/admin/dump", "").body
		Expect(d).To(ContainSubstring(id))
		Expect(d).NotTo(ContainSubstring(secret))
		Expect(d).NotTo(ContainSubstring(dev.DemoKey))
	})
})

func kvTokensHeld(site *dev.Site) int64 {
	sum := int64(0)
	for _, e := range site.Engines {
		tokens, _ := e.Held()
		sum += tokens
	}
	return sum
}

var _ = Describe("a site of nine entries", func() {
	// Guards against a site that serves nobody although every engine is ready: instances that
	// owned an engine briefly at the start kept reporting that it has no model, and their
	// reports replaced those of the current owner.
	It("becomes ready", func() {
		site := startSite(func(o *dev.Options) { o.Entries, o.Engines = 9, 4 })
		defer site.Close()
		for i := range 9 {
			Expect(completion(site.CallerAddr(i), "here?", 1).status).To(Equal(200))
		}
	})
})

var _ = Describe("a graceful shutdown", func() {
	// Guards against answers that are cut off when an instance is replaced. The instance
	// announces that it leaves, still serves callers with an old list of entries, and exits
	// after its last stream.
	It("cuts off no answer under load", func() {
		site := startSite(func(o *dev.Options) { o.StepFactor = 0.5 })
		defer site.Close()
		results := make(chan string, 400)
		stop := make(chan struct{})
		sent := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				sent++
				go func() {
					prompt := fmt.Sprint("p", i)
					r := completion(site.CallerAddr(0), prompt, 40)
					if text(r) == answer.Whole(prompt, 40) {
						results <- ""
					} else {
						results <- r.body
					}
				}()
			}
		}()
		time.Sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- site.Entries[0].Stop(context.Background()) }()
		time.Sleep(700 * time.Millisecond)
		entries := call("GET", "http://"+site.CallerAddr(1)+"/v1/entries", "").body
		Expect(entries).NotTo(ContainSubstring("entry-1"))
		close(stop)
		<-done
		Eventually(stopped, "30s").Should(Receive(BeNil()))
		for range sent {
			Expect(<-results).To(BeEmpty())
		}
	})
})
