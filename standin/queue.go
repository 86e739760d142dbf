package standin

import (
	"sync"
	"time"
)

// queue bounds the number of running jobs; the others are queued in first-in,
// first-out order.
type queue struct {
	mu      sync.Mutex
	workers int // 0 for no bound
	running int
	waiting []chan struct{}
}

func newQueue(workers int) *queue { return &queue{workers: workers} }

// acquire returns a channel that is closed once a worker is assigned to the job.
// It returns false if more than shedAbove jobs would be queued.
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

// release frees the worker of a job, or removes the job from the queue.
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

// waitReady waits until ready is closed. It returns false if d passed, stop was
// closed or the server ended first.
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
