package emulator

import (
	"sync/atomic"
	"time"
)

// Statistics counts what the players of a run observe. The functions are called from the players' goroutines.
type Statistics struct {
	// OnBroken is called with the balancer's name when an established connection breaks; it may be nil.
	OnBroken func(balancer string)
	// OnResumed is called when a session continues, with the time since its client was told to move or its connection
	// broke; it may be nil.
	OnResumed func(time.Duration)
	// OnStartedOver is called with the reason when a session starts over; it may be nil.
	OnStartedOver func(reason string)

	// Answers counts the final answers.
	Answers atomic.Int64
	// Established counts the requests that were answered UP.
	Established atomic.Int64
	// Rejected counts the requests that were answered BUSY.
	Rejected atomic.Int64
	// Failed counts the requests that were answered otherwise, as with ERR.
	Failed atomic.Int64
	// Migrated counts the clients that were told to move.
	Migrated atomic.Int64
	// Broken counts the established connections that broke.
	Broken atomic.Int64
	// Resumed counts the sessions that continued where they were.
	Resumed atomic.Int64
	// StartedOver counts the sessions that started over.
	StartedOver atomic.Int64
	// GamesEnded counts the games that were played to their end.
	GamesEnded atomic.Int64
	// RacedTokens counts the copies of tokens that were presented at the same time as their owner's.
	RacedTokens atomic.Int64
	// RacesWon counts those copies that were accepted before their owner's.
	RacesWon atomic.Int64
	// ReplayedTokens counts the tokens that were presented again after they had been used.
	ReplayedTokens atomic.Int64
	// ReplaysAccepted counts those that were accepted.
	ReplaysAccepted atomic.Int64
}
