package api

import (
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/decide/prefix"
	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/result"
)

// defaultMaxTokens applies when neither the request nor the service sets a limit.
const defaultMaxTokens = 64

func (a *API) completion(c echo.Context, chat bool) error {
	who, err := a.authenticate(c)
	if err != nil {
		return err
	}
	raw, err := a.readBody(c, who.customer.Name)
	if err != nil {
		return err
	}
	if err := a.takeParsed(c, raw); err != nil {
		return err
	}
	req, prompt, err := a.parse(raw, chat)
	if err != nil {
		return err
	}
	svc, ok := who.index.Service(req.Model)
	if !ok || svc.Type != manifest.Model {
		return result.New(result.UnknownModel, "no model service has this name")
	}
	if err := a.resolveKind(c, &who, svc); err != nil {
		return err
	}
	max, err := maxTokens(req, svc)
	if err != nil {
		return err
	}
	w := modelRequest{caller: who, model: a.readyModel(svc), svc: svc, req: req, prompt: prompt, max: max, chat: chat}
	if !who.kind.NeverTwice {
		return a.complete(c, w, nil)
	}
	return a.runOnce(c, who, raw, claimHandlers{
		run:    func(r *claimedKey) error { return a.complete(c, w, r) },
		resume: func(r *claimedKey, engine, stream string) error { return a.resume(c, w, r, engine, stream) },
	})
}

// parse is parseCompletion, of one large body at a time: parsing takes further memory, which is free again after it.
func (a *API) parse(raw []byte, chat bool) (completionRequest, string, error) {
	if len(raw) > largeParse {
		a.parsing.Lock()
		defer a.parsing.Unlock()
	}
	return parseCompletion(raw, chat)
}

// modelRequest is a validated model request.
type modelRequest struct {
	caller
	svc manifest.Service
	// model is the loaded model version that serves the request.
	model  string
	req    completionRequest
	prompt string
	max    int64
	chat   bool
}

// keepFunc stores the complete answer to a request with a claimed key.
type keepFunc func(status int, contentType string, body []byte)

func (w modelRequest) sink(c echo.Context, r *claimedKey) sink {
	env := newEnvelope(requestID(c), w.svc.Name, w.chat)
	var keep keepFunc
	if r != nil {
		keep = r.storeAnswer
	}
	var out sink = &bufferedSink{c: c, env: env, keep: keep}
	if w.req.Stream {
		out = &sseSink{c: c, env: env, includeUsage: w.req.StreamOptions.IncludeUsage, keep: keep}
	}
	if r != nil {
		out = detachedSink{out}
	}
	return out
}

func maxTokens(req completionRequest, svc manifest.Service) (int64, error) {
	limit := int64(svc.MaxOutput)
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if req.MaxTokens == nil {
		return min(limit, defaultMaxTokens), nil
	}
	if *req.MaxTokens > limit {
		return 0, result.New(result.BadRequest, "max_tokens exceeds %d", limit)
	}
	return *req.MaxTokens, nil
}

func (a *API) complete(c echo.Context, w modelRequest, r *claimedKey) error {
	job := &peerpb.Job{
		Id: requestID(c), Customer: w.customer.Name, Model: w.model,
		PromptTokens: int64(prefix.EstimateTokens(len(w.prompt))), MaxTokens: w.max,
		Prefix:      prefix.Sample(prefix.Chain(w.prompt)),
		RemainingUs: w.timeBudget.Microseconds(), TargetUs: w.kind.Target().Microseconds(),
		Weight: int64(w.customer.Share),
	}
	ticket, err := a.disp.Submit(job, w.kind.NeverTwice)
	if err != nil {
		return err
	}
	defer a.disp.Close(ticket)
	s := &session{disp: a.disp, ticket: ticket, model: w.model, prompt: w.prompt, max: w.max, sink: w.sink(c, r)}
	if r != nil {
		s.onStarted = r.recordStream
	}
	if err := s.serve(c.Request().Context(), w.timeBudget); err != nil {
		return err
	}
	a.countResult(result.OK)
	return nil
}

// readyModel returns the version of a service's model to use. During a rollout
// that is the old version until the new one is loaded on as many engines.
func (a *API) readyModel(svc manifest.Service) string {
	wanted := svc.WeightsName()
	ready := map[string]int{}
	for _, e := range a.mem.View().Engines {
		if e.State == nil || e.Leaving {
			continue
		}
		for _, m := range e.State.Models {
			if manifest.SameModel(m, svc) {
				ready[m]++
			}
		}
	}
	best := wanted
	for m, n := range ready {
		if n > ready[best] || (n == ready[best] && best != wanted && m > best) {
			best = m
		}
	}
	return best
}
