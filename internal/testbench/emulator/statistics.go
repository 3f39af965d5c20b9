package emulator

import (
	"sync/atomic"
	"time"
)

// Statistics counts what the players of a run observe. The functions are called concurrently, from the players'
// goroutines.
type Statistics struct {
	// OnBroken is called with the balancer's name for each connection that Broken counts; it may be nil.
	OnBroken func(balancer string)
	// OnResumed is called when a session is resumed, with the time since its client lost its room server. A client loses
	// its room server when it is told to move, when its connection breaks, or when no token or position follows UP. It
	// may be nil.
	OnResumed func(time.Duration)
	// OnStartedOver is called with the reason when a session starts over; it may be nil.
	OnStartedOver func(reason string)

	// Answers counts the final answers to players' requests, without those to RacedTokens and ReplayedTokens.
	Answers atomic.Int64
	// Established counts the requests that were answered UP.
	Established atomic.Int64
	// Rejected counts the requests that were answered BUSY.
	Rejected atomic.Int64
	// Failed counts the requests whose answer was none of UP, BUSY and ANEW: ERR, for example.
	Failed atomic.Int64
	// Migrated counts how often a client was told to move.
	Migrated atomic.Int64
	// Broken counts the established connections that broke. If the client uses session tokens, the connection is counted
	// only if the client had read the token and the position before.
	Broken atomic.Int64
	// Resumed counts how often a session was resumed.
	Resumed atomic.Int64
	// StartedOver counts how often a session could not be resumed and its client started over.
	StartedOver atomic.Int64
	// GamesEnded counts the games whose end a room server confirmed.
	GamesEnded atomic.Int64
	// RacedTokens counts the copies of tokens that were presented while the player itself presented the token.
	RacedTokens atomic.Int64
	// RacesWon counts the copies of RacedTokens that were accepted.
	RacesWon atomic.Int64
	// ReplayedTokens counts the copies of tokens that were presented after the player had used the token.
	ReplayedTokens atomic.Int64
	// ReplaysAccepted counts the copies of ReplayedTokens that were accepted, which is a violation.
	ReplaysAccepted atomic.Int64
}
