package api

import (
	"github.com/labstack/echo/v4"

	"github.com/auburnmoor/auburnmoor/manifest"
	"github.com/auburnmoor/auburnmoor/peerpb"
	"github.com/auburnmoor/auburnmoor/prefix"
	"github.com/auburnmoor/auburnmoor/result"
)

// defaultMaxTokens applies when neither the request nor the service says.
const defaultMaxTokens = 64

func (a *API) completion(c echo.Context, chat bool) error {
	who, err := a.authenticate(c)
	if err != nil {
		return err
	}
	raw, err := a.readBody(c)
	if err != nil {
		return err
	}
	req, prompt, err := parseCompletion(raw, chat)
	if err != nil {
		return err
	}
	svc, ok := who.index.Service(req.Model)
	if !ok || svc.Type != manifest.Model {
		return result.New(result.UnknownModel, "no model service has this name")
	}
	if err := a.promise(c, &who, svc); err != nil {
		return err
	}
	max, err := maxTokens(req, svc)
	if err != nil {
		return err
	}
	run := func(keep keepFunc) error { return a.complete(c, who, svc, req, prompt, max, chat, keep) }
	if who.kind.NeverTwice {
		return a.once(c, who, raw, run)
	}
	return run(nil)
}

// keepFunc receives a whole answer for the record of a claimed key.
type keepFunc func(status int, contentType string, body []byte)

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

func (a *API) complete(c echo.Context, who caller, svc manifest.Service, req completionRequest, prompt string, max int64, chat bool, keep keepFunc) error {
	id := requestID(c)
	job := &peerpb.Job{
		Id: id, Customer: who.customer.Name, Model: svc.Loaded(),
		PromptTokens: int64(prefix.Tokens(len(prompt))), MaxTokens: max,
		Prefix:      prefix.Sample(prefix.Chain(prompt)),
		RemainingUs: who.limit.Microseconds(), TargetUs: who.kind.Target().Microseconds(),
		Weight: int64(who.customer.Share),
	}
	ticket, err := a.disp.Submit(job, who.kind.NeverTwice)
	if err != nil {
		return err
	}
	defer a.disp.Close(ticket)
	env := newEnvelope(id, svc.Name, chat)
	var out sink = &wholeSink{c: c, env: env, keep: keep}
	if req.Stream {
		out = &sseSink{c: c, env: env, usage: req.StreamOptions.IncludeUsage, keep: keep}
	}
	s := &session{disp: a.disp, ticket: ticket, model: svc.Loaded(), prompt: prompt, max: max, sink: out}
	if err := s.serve(c.Request().Context(), who.limit); err != nil {
		return err
	}
	a.countResult(result.OK)
	return nil
}
