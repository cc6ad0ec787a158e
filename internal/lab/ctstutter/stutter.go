/*
Package ctstutter makes members of the labs stutter: they send some answers twice, the second
time late. What an answer is depends on the lab: bytes on a socket, or a value on a channel.

# Moments

A repeated answer comes right behind the first time, before or after the answer to the next
query, or after a while, when the connection may be idle, inside a transaction or in use. A
Plan draws the moments from a seed. The zero Plan repeats nothing.

# Usage

	plan := ctstutter.NewPlan(seed, 40)
	repeater := ctstutter.Repeater[[]byte]{Plan: plan, Send: conn.Write}
	defer repeater.Close()
	...
	err := repeater.Answer(encoded)
*/
package ctstutter

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Moment is when an answer is sent again.
type Moment interface {
	isMoment()
}

// Behind means right behind the first time.
type Behind struct{}

// Before means before the answer to the next query, which has run by then.
type Before struct{}

// After means after the answer to the next query.
type After struct{}

// Later means after a delay.
type Later struct {
	Delay time.Duration
}

func (Behind) isMoment() {}
func (Before) isMoment() {}
func (After) isMoment()  {}
func (Later) isMoment()  {}

// maxDelay bounds the delay of Later. It exceeds the pauses between most queries.
const maxDelay = 60 * time.Millisecond

// Plan draws which answers are sent again, and when. It is safe for concurrent use.
type Plan struct {
	mutex  sync.Mutex
	random *rand.Rand
	share  int
	always Moment
}

// NewPlan returns a plan that repeats one of share answers.
func NewPlan(seed uint64, share int) *Plan {
	return &Plan{random: rand.New(rand.NewPCG(seed, 0)), share: share}
}

// Always returns a plan that repeats one of share answers, all at the same moment.
func Always(seed uint64, share int, moment Moment) *Plan {
	p := NewPlan(seed, share)
	p.always = moment
	return p
}

// draw returns when the next answer is sent again, or nil if it isn't.
func (p *Plan) draw() Moment {
	if p == nil || p.share == 0 {
		return nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.random.IntN(p.share) > 0 {
		return nil
	}
	if p.always != nil {
		return p.always
	}
	moments := []Moment{
		Behind{}, Before{}, After{}, Later{Delay: time.Duration(p.random.Int64N(int64(maxDelay)))},
	}
	return moments[p.random.IntN(len(moments))]
}

// Repeater sends the answers of one connection. Send is not called by two goroutines at once.
type Repeater[A any] struct {
	Plan *Plan
	Send func(A) error

	mutex  sync.Mutex
	closed bool
	// repeatedAt is when an answer was last sent again.
	repeatedAt time.Time
	// before and after are sent around the next answer.
	before, after []A
}

// Answer sends an answer, those that are due around it, and plans its repetition.
func (r *Repeater[A]) Answer(answer A) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	due := append(append(r.before, answer), r.after...)
	r.before, r.after = nil, nil
	switch m := r.Plan.draw().(type) {
	case Behind:
		due = append(due, answer)
	case Before:
		r.before = []A{answer}
	case After:
		r.after = []A{answer}
	case Later:
		time.AfterFunc(m.Delay, func() { r.sendLate(answer) })
	}
	if len(due) > 1 {
		r.repeatedAt = time.Now()
	}
	for _, a := range due {
		if err := r.Send(a); err != nil {
			return err
		}
	}
	return nil
}

// sendLate sends an answer again unless the connection has ended.
func (r *Repeater[A]) sendLate(answer A) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.repeatedAt = time.Now()
		_ = r.Send(answer)
	}
}

// RepeatedSince reports whether an answer was sent again since a time.
func (r *Repeater[A]) RepeatedSince(since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.repeatedAt.After(since)
}

// Close ends the repetitions. Send is not called any more.
func (r *Repeater[A]) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
}
