package experiment

// Result is the result of an experiment, as cottonplank-lab prints it in JSON.
type Result struct {
	Name string `json:"name"`
	// Tokens says that clients and balancers used session tokens.
	Tokens bool `json:"tokens"`
	// Sessions is the number of clients.
	Sessions int `json:"sessions"`
	// Migrated counts how often a client received MOVE or its connection broke.
	Migrated int `json:"moved"`
	// Resumed counts how often a session continued over a new connection without starting over.
	Resumed int `json:"resumed"`
	// ResumedWithin counts how often a session continued at most 500 ms after its client received MOVE or its
	// connection broke.
	ResumedWithin int `json:"resumed_within_500ms"`
	// StartedOver counts how often a session started over.
	StartedOver int `json:"started_over"`
	// DoubleAttachments counts the attachments of sessions that were already attached, and the attachments at an epoch
	// that is not above all earlier epochs of the session. An attachment of both kinds may count twice.
	DoubleAttachments int `json:"attached_twice"`
	// LostSessions counts the sessions that lost acknowledged moves of their game, or had been without a room server for
	// more than 3 s at the end.
	LostSessions int `json:"lost"`
	// Violations counts the violations of the invariants of requests and room servers.
	Violations int `json:"rules_broken"`
	// ResumeMsP50 and ResumeMsP99 are quantiles of the time from the MOVE or the break of a connection until its
	// session continued.
	ResumeMsP50 float64 `json:"resume_ms_p50"`
	ResumeMsP99 float64 `json:"resume_ms_p99"`
	// Instances is the number of balancers.
	Instances int `json:"instances"`
	// Reloads counts the reloads of the processes that ran at the end, each since its start.
	Reloads uint64 `json:"reloads"`
	// MinReloads is the smallest number of reloads of a balancer whose process ran during the whole run. Known fault: a
	// balancer without reloads is ignored if a balancer that is read after it has reloaded.
	MinReloads uint64 `json:"reloads_least"`
	// Killed counts the kills of balancers by SIGKILL.
	Killed int `json:"killed"`
	// HotRestarts counts the hot restarts of balancers.
	HotRestarts int `json:"renewed"`
	// GamesEnded counts the games that were played to their end.
	GamesEnded int `json:"games_over"`
	// Answers counts the final answers that clients have read.
	Answers int `json:"answers"`
	// UnansweredRequests counts the requests whose connection broke or whose deadline passed without an answer, except
	// those that a kill of their balancer excuses. Violations counts them too.
	UnansweredRequests int `json:"lost_answers"`
	// BrokenUnannounced counts the established connections that broke without MOVE at balancers that were never killed.
	BrokenUnannounced int `json:"broken_connections_not_moved"`
	// MeanResidentMB is the mean resident memory of the balancers that ran at the end.
	MeanResidentMB float64 `json:"rss_mb_per_instance"`
	Cost           Cost    `json:"cost"`
	// Rejected counts the requests that were answered BUSY.
	Rejected int `json:"refused"`
	// Failed counts the requests whose answer was not UP, BUSY or ANEW, such as ERR.
	Failed int `json:"failed"`
	// RacedTokens counts the copies of tokens that were presented while the owners presented the originals.
	RacedTokens int `json:"raced"`
	// RacesWon counts the copies of RacedTokens that were accepted.
	RacesWon int `json:"raced_up"`
	// ReplayedTokens counts the copies of tokens that were presented after the token had been used.
	ReplayedTokens int `json:"replays"`
	// ReplaysAccepted counts the copies of ReplayedTokens that were accepted, which is a violation.
	ReplaysAccepted int `json:"replays_up"`
	// Reasons counts the sessions that started over, by reason.
	Reasons map[string]int `json:"started_over_by_reason"`
	// Balancers holds the sum of each metric, by its name, over the balancers that ran at the end.
	Balancers map[string]uint64 `json:"balancers"`
	// ViolationTexts describes each violation.
	ViolationTexts []string `json:"broken,omitempty"`
	// WithoutTokens is the result of the same experiment without session tokens; nil if it was not run.
	WithoutTokens *Result `json:"without_tokens,omitempty"`
}

// Passed reports whether all invariants held, including those of the run without tokens. Requests that were rejected or
// failed, and sessions that started over, are not violations.
func (r Result) Passed() bool {
	if r.WithoutTokens != nil && !r.WithoutTokens.Passed() {
		return false
	}
	return r.Violations == 0 && r.DoubleAttachments == 0 && r.LostSessions == 0 && r.ReplaysAccepted == 0
}

// readBalancers reads the metrics and the memory of all running balancers.
func (r *run) readBalancers() error {
	for i, b := range r.balancers {
		if !r.alive[i] {
			continue
		}
		if err := r.readBalancer(b); err != nil {
			return err
		}
	}
	return nil
}

// generationMetric is the name of the metric that counts the configurations of a process, the first one included.
const generationMetric = "generation"

// readBalancer adds the metrics, the memory and the reloads of a balancer to the result.
func (r *run) readBalancer(b *balancer) error {
	result := &r.result
	before := result.Balancers[generationMetric]
	if err := b.addMetrics(result.Balancers); err != nil {
		return err
	}
	usage, err := b.usage()
	if err != nil {
		return err
	}
	r.metricsRead++
	result.MeanResidentMB += (usage.residentMB - result.MeanResidentMB) / float64(r.metricsRead)
	after := result.Balancers[generationMetric]
	if after <= before {
		return nil
	}
	reloads := after - before - 1 // without the configuration of the start
	result.Reloads += reloads
	if !r.interrupted[b.name] && (result.MinReloads == 0 || reloads < result.MinReloads) {
		result.MinReloads = reloads
	}
	return nil
}

// collectResult completes the result once all players have ended.
func (r *run) collectResult() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectStatistics()
	r.collectInvariants()
	result := &r.result
	result.Instances = r.e.Balancers
	for name, n := range r.broken {
		if !r.killed[name] {
			result.BrokenUnannounced += n
		}
	}
	if r.resumeTimes.TotalCount() > 0 {
		result.ResumeMsP50 = float64(r.resumeTimes.ValueAtQuantile(50)) / 1000
		result.ResumeMsP99 = float64(r.resumeTimes.ValueAtQuantile(99)) / 1000
	}
}

// collectStatistics copies the counts of the players' statistics to the result.
func (r *run) collectStatistics() {
	result, s := &r.result, &r.statistics
	result.Migrated = int(s.Migrated.Load() + s.Broken.Load())
	result.Resumed = int(s.Resumed.Load())
	result.StartedOver = int(s.StartedOver.Load())
	result.Rejected = int(s.Rejected.Load())
	result.Failed = int(s.Failed.Load())
	result.RacedTokens = int(s.RacedTokens.Load())
	result.RacesWon = int(s.RacesWon.Load())
	result.ReplayedTokens = int(s.ReplayedTokens.Load())
	result.ReplaysAccepted = int(s.ReplaysAccepted.Load())
	result.GamesEnded = int(s.GamesEnded.Load())
	result.Answers = int(s.Answers.Load())
}

// collectInvariants copies the findings of the checker of the invariants to the result.
func (r *run) collectInvariants() {
	report := r.recorder.Report()
	result := &r.result
	result.UnansweredRequests = report.UnansweredRequests
	result.DoubleAttachments = report.DoubleAttachments + report.EpochRegressions
	result.LostSessions = report.LostSessions
	result.Violations = len(report.Violations)
	result.ViolationTexts = report.Violations
	r.collapses = report.Collapses
}
