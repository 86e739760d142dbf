package standin

import (
	"sync"
	"time"
)

// queue lets a bounded number of jobs run; the others wait in order of arrival.
type queue struct {
	mu      sync.Mutex
	workers int // 0 for no bound
	running int
	waiting []chan struct{}
}

func newQueue(workers int) *queue { return &queue{workers: workers} }

// acquire takes a place, or returns a channel that is closed once there is one.
// It reports false if more than shedAbove jobs would wait.
func (q *queue) acquire(shedAbove int) (ready chan struct{}, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ready = make(chan struct{})
	if q.workers == 0 || q.running < q.workers {
		q.running++
		close(ready)
		return ready, true
	}
	if shedAbove > 0 && len(q.waiting) >= shedAbove {
		return nil, false
	}
	q.waiting = append(q.waiting, ready)
	return ready, true
}

// release gives a place back, whether it was taken or still waited for.
func (q *queue) release(ready chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, w := range q.waiting {
		if w == ready {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
	q.running--
	q.startNext()
}

func (q *queue) setWorkers(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.workers = n
	q.startNext()
}

func (q *queue) startNext() {
	for len(q.waiting) > 0 && (q.workers == 0 || q.running < q.workers) {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
}

func (q *queue) lengths() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

// waitReady waits for a turn. It reports false if the time passed or stop closed first.
func (s *server) waitReady(ready <-chan struct{}, d time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ready:
		return true
	default:
	}
	select {
	case <-ready:
		return true
	case <-timer.C:
	case <-stop:
	case <-s.ctx.Done():
	}
	return false
}
